#ifndef PLANTAINGAP_JOBS_WORKER_H
#define PLANTAINGAP_JOBS_WORKER_H

#include "jobs/job.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <plantaingap/resources.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// Workers as listed by the platform, the orders sent to them and their reports.
namespace plantaingap::jobs {

// An entry of the platform's worker list.
struct worker_entry
{
    std::string id;
    // IP:PORT.
    std::string address;
    std::string dataCentre;
    std::string service;
    bool draining = false;
    resources capacity;
    // Worker class and rack; only rack labels contain a '-'.
    std::vector<std::string> labels;
    // Start of this incarnation of the worker, milliseconds since 1970; 0 when unknown.
    std::int64_t incarnationMs = 0;
};

struct worker_address
{
    std::string id;
    std::string address;
};

// Starts one attempt of a task.
struct start_order
{
    worker_address worker;
    std::string task;
    std::uint32_t attempt = 0;
    std::string payload;
    // The only incarnation that may execute the order.
    std::int64_t incarnationMs = 0;
    // End of the lease on that incarnation's clock, in milliseconds; also the deadline for
    // executing the order.
    std::int64_t leaseEndMs = 0;
    std::uint64_t term = 0;
    std::string ticket;
    std::string checkpoint;
};

struct stop_order
{
    worker_address worker;
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t term = 0;
};

// Limits a task to a percentage of its full speed.
struct throttle_order
{
    worker_address worker;
    std::string task;
    std::uint32_t attempt = 0;
    std::uint32_t percent = 100;
    std::uint64_t term = 0;
};

// Renews the lease of all runs on a worker and requests its report.
struct lease_renewal
{
    worker_address worker;
    std::uint64_t term = 0;
    // The incarnation for which the lease end and the last stored end are meant; another one is
    // asked for its report only.
    std::int64_t incarnationMs = 0;
    // New lease end on its clock, in milliseconds; none leaves the lease unchanged.
    std::optional<std::int64_t> leaseEndMs;
    // Completions up to this number are stored and may be dropped by the worker.
    std::uint64_t lastStoredEnd = 0;
    // Max time that the worker may hold the response; it responds immediately when a run has ended.
    milliseconds wait {0};
};

struct active_run
{
    std::string task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    // For a serving task the tail latency in milliseconds, else the cores in use in thousandths.
    double measure = 0;
};

struct ended_run
{
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t attempt = 0;
    run_outcome outcome = run_outcome::Done;
    std::string checkpoint;
};

struct worker_report
{
    std::int64_t clockMs = 0;
    std::int64_t incarnationMs = 0;
    std::vector<active_run> active;
    std::vector<ended_run> ended;
    // The worker may have listed only the first ends: a run that is in neither list may have ended
    // in any way, and the next report lists its end once those listed here are stored.
    bool endsOmitted = false;
    // The worker rejected the term of this leader as stale.
    bool staleTerm = false;
    // Another incarnation of the worker responded at this address.
    bool otherIncarnation = false;
};

} // namespace plantaingap::jobs

#endif
