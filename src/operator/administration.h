#ifndef PLANTAINGAP_OPERATOR_ADMINISTRATION_H
#define PLANTAINGAP_OPERATOR_ADMINISTRATION_H

#include "operator/configuration_difference.h"
#include "operator/configuration_set.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <plantaingap/configuration.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// What the administration API asks of an instance. runtime implements it over the platform's table
// and the duties; tests over memory. All calls are made on the thread of the API's duty.
namespace plantaingap::operators {

enum class audit_outcome : std::uint8_t { Accepted, Refused };

// One change that was asked for. Written for every change, whether accepted or refused.
struct audit_entry
{
    std::string who;
    wall_time when {};
    // What was asked: "apply", "submit" or "cancel".
    std::string change;
    // The job, for submit and cancel.
    std::string subject;
    // The version the change was prepared against and the one it made; equal when refused.
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    // Of the set that was asked for.
    std::string digest;
    audit_outcome outcome = audit_outcome::Refused;
    std::string reason;

    bool operator==(const audit_entry &) const = default;
};

// A version of the declared configuration.
struct configuration_version
{
    std::uint64_t version = 0;
    configuration_set set;
};

// A set to be put in force by compare-and-set on the version that it was prepared against.
struct apply_order
{
    std::uint64_t base = 0;
    configuration_set set;
    configuration_difference difference;
    // What is to be written in the same transaction as the new version.
    audit_entry audit;
};

// Who won the race that an order lost.
struct apply_conflict
{
    std::uint64_t version = 0;
    std::string digest;
    std::string who;
    wall_time when {};

    bool operator==(const apply_conflict &) const = default;
};

struct apply_outcome
{
    // The version that the order made; 0 when it lost.
    std::uint64_t version = 0;
    std::optional<apply_conflict> conflict;
};

struct instance_status
{
    std::string instance;
    std::string region;
    std::string dataCentre;
    std::uint64_t version = 0;
    std::string state;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;

    bool operator==(const instance_status &) const = default;
};

struct worker_status
{
    std::string worker;
    std::string group;
    std::string owner;
    std::string state;
    std::uint32_t slots = 0;
    std::uint32_t busy = 0;
    resources holds;
    resources committed;

    bool operator==(const worker_status &) const = default;
};

struct queue_status
{
    std::string service;
    decision::work_class workClass = decision::work_class::Normal;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t refused = 0;

    bool operator==(const queue_status &) const = default;
};

struct team_status
{
    std::string team;
    resources quota;
    resources used;

    bool operator==(const team_status &) const = default;
};

struct job_status
{
    std::string job;
    std::string team;
    job_kind kind = job_kind::Batch;
    // "waiting", "running", "finished", "failed", "cancelled" or "refused".
    std::string state;
    std::uint32_t tasks = 0;
    std::uint32_t running = 0;
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;

    bool operator==(const job_status &) const = default;
};

// What the answering instance knows of the cell; other instances' parts may lag by a heartbeat.
struct cell_status
{
    // The newest version known to be in force somewhere.
    std::uint64_t version = 0;
    std::string digest;
    std::vector<instance_status> instances;
    std::vector<worker_status> workers;
    std::vector<queue_status> queues;
    std::vector<team_status> teams;
    std::vector<job_status> jobs;

    bool operator==(const cell_status &) const = default;
};

// Why a job, or what is left of it, does not run.
struct job_explanation
{
    std::string job;
    std::string state;
    // One sentence each, the weightiest first.
    std::vector<std::string> reasons;

    bool operator==(const job_explanation &) const = default;
};

// Which part of the trail: the newest entries first, older than the given version when it is set.
struct audit_query
{
    std::uint32_t limit = 100;
    std::optional<std::uint64_t> beforeVersion;
};

class administration
{
public:
    template<class T>
    using answer = boost::asio::awaitable<result<T>>;

    virtual ~administration() = default;

    // A version still kept, or the one in force; errc::NotFound when it is kept no longer.
    virtual answer<configuration_version> configurationAt(std::optional<std::uint64_t> version) = 0;
    // Compare-and-set. The order's audit entry, with the version made, is written in the same
    // transaction; a lost race is an outcome, not an error. errc::StoreUnavailable: certainly not
    // applied. errc::OutcomeUnknown: cannot be known yet.
    virtual answer<apply_outcome> apply(apply_order order) = 0;
    virtual answer<cell_status> status() = 0;
    virtual answer<job_explanation> why(std::string job) = 0;
    virtual answer<job_status> job(std::string name) = 0;
    // The job is durable when this answers. The same job asked for again is not a second job.
    // errc::DuplicateKey: another job has the name.
    virtual answer<job_status> submit(job_declaration job, audit_entry audit) = 0;
    virtual answer<job_status> cancel(std::string job, audit_entry audit) = 0;
    virtual answer<std::vector<audit_entry>> audit(audit_query query) = 0;
    // Writes an entry of its own: for changes that were refused before they reached the store.
    virtual boost::asio::awaitable<std::error_code> record(audit_entry entry) = 0;
    // Wall time, for audit entries; tests give their own.
    virtual wall_time now() const = 0;
};

} // namespace plantaingap::operators

#endif
