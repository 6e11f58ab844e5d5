#ifndef PLANTAINGAP_CONFIGURATION_H
#define PLANTAINGAP_CONFIGURATION_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <plantaingap/request_scheduler.h>
#include <plantaingap/resources.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// The configuration that operators declare in files: services, teams, jobs and worker classes. A
// configuration set has one version and is applied as a whole. These types hold a parsed and
// validated set; docs/CONFIGURATION.md is generated from operator/configuration_tables.h.
namespace plantaingap {

// One kind of request of a service. The scheduler learns request durations per kind.
struct kind_declaration
{
    std::string name;
    decision::work_class workClass = decision::work_class::Normal;
    // Default: the value of the service.
    std::optional<bool> idempotent;
    std::optional<std::chrono::milliseconds> deadline;
    // Expected run time of such a request until the scheduler has observed enough of them.
    std::optional<std::chrono::milliseconds> expectedDuration;

    bool operator==(const kind_declaration &) const = default;
};

struct service_declaration
{
    std::string name;
    std::vector<kind_declaration> kinds;
    std::uint32_t slotsPerWorker = 8;
    std::uint32_t connectionsPerWorker = 64;
    // Maximum of queued requests per group and work class.
    std::uint32_t queueLimit = 1024;
    // Applies to requests that state no deadline.
    std::chrono::milliseconds deadline {30'000};
    bool idempotent = false;

    bool operator==(const service_declaration &) const = default;
};

struct team_declaration
{
    std::string name;
    resources quota;
    // Principals, by their names in the settings, that may submit jobs for the team.
    std::vector<std::string> submitters;

    bool operator==(const team_declaration &) const = default;
};

enum class job_kind : std::uint8_t {
    // Tasks that run until they are cancelled.
    Service,
    // Tasks that run to completion; each starts as soon as a worker has capacity for it.
    Batch,
    // Tasks that start together or not at all.
    AllOrNothing,
};

// Placement constraint between the tasks of a job.
enum class task_spread : std::uint8_t {
    // No constraint.
    Any,
    // At most one task of the job per worker.
    Workers,
};

struct job_declaration
{
    std::string name;
    job_kind kind = job_kind::Batch;
    std::string team;
    // The command that the worker runs for each task.
    std::string command;
    std::uint32_t tasks = 1;
    resources perTask;
    bool checkpointable = false;
    bool urgent = false;
    // The job is cancelled when not all tasks that it requires have started by then.
    std::optional<wall_time> startBy;
    task_spread spread = task_spread::Any;

    bool operator==(const job_declaration &) const = default;
};

// Workers with the same resources, as declared by the operators. Only used to reject jobs that can
// never run; placement uses the workers that the platform lists.
struct worker_class_declaration
{
    std::string name;
    std::uint32_t workers = 0;
    std::uint32_t workersPerRack = 8;
    resources perWorker;

    bool operator==(const worker_class_declaration &) const = default;
};

// Which workers form a group, the unit of ownership. An all-or-nothing job never spans groups.
enum class group_rule : std::uint8_t { Rack, DataCentre };

struct configuration
{
    std::vector<service_declaration> services;
    std::vector<team_declaration> teams;
    std::vector<job_declaration> jobs;
    std::vector<worker_class_declaration> workerClasses;
    group_rule groups = group_rule::Rack;

    bool operator==(const configuration &) const = default;
};

} // namespace plantaingap

#endif
