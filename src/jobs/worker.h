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

// Workers as the platform lists them, the orders that they take and the reports that they give.
namespace plantaingap::jobs {

// An entry of the platform's list of workers.
struct worker_entry
{
    std::string id;
    // IP:PORT.
    std::string address;
    std::string dataCentre;
    std::string service;
    bool draining = false;
    resources capacity;
    // Its kind and its rack; a rack's label contains a '-'.
    std::vector<std::string> labels;
    // When this life of the worker began, milliseconds since 1970; 0 when it does not say.
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
    // On the worker's clock; also the latest moment at which the order may still be carried out.
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

// Lets a task work at a share of its speed from now on.
struct throttle_order
{
    worker_address worker;
    std::string task;
    std::uint32_t attempt = 0;
    std::uint32_t percent = 100;
    std::uint64_t term = 0;
};

// Renews the lease of all that runs on a worker, and asks for its report.
struct lease_renewal
{
    worker_address worker;
    std::uint64_t term = 0;
    // On the worker's clock; none to leave the lease as it is.
    std::optional<std::int64_t> leaseEndMs;
    // Ends up to this number are stored and may be forgotten by the worker.
    std::uint64_t lastStoredEnd = 0;
    // The worker answers at once when something has ended, at the latest after this.
    milliseconds wait {0};
};

struct active_run
{
    std::string task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    // A serving task's tail latency in milliseconds, else the thousandths of a core in use.
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
    // The worker answered, and refuses this leader's term.
    bool staleTerm = false;
    // Another life of the worker is at this address.
    bool otherIncarnation = false;
};

} // namespace plantaingap::jobs

#endif
