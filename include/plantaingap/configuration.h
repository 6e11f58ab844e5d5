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

// What operators declare in files: services, teams, jobs and classes of workers. A set of files is
// one version and is applied whole. These types hold a set that was read and checked; the texts of
// docs/CONFIGURATION.md come from the tables in operator/configuration_tables.h.
namespace plantaingap {

// One kind of request of a service. Sizes are learned per kind.
struct kind_declaration
{
    std::string name;
    decision::work_class workClass = decision::work_class::Normal;
    // Absent: the service's own.
    std::optional<bool> idempotent;
    std::optional<std::chrono::milliseconds> deadline;
    // How long such a request is expected to run, until it has been learned.
    std::optional<std::chrono::milliseconds> expected;

    bool operator==(const kind_declaration &) const = default;
};

struct service_declaration
{
    std::string name;
    std::vector<kind_declaration> kinds;
    std::uint32_t slotsPerWorker = 8;
    std::uint32_t connectionsPerWorker = 64;
    // Requests that may wait in one group, for each class of work.
    std::uint32_t queueLimit = 1024;
    // For requests that bring none of their own.
    std::chrono::milliseconds deadline {30'000};
    bool idempotent = false;

    bool operator==(const service_declaration &) const = default;
};

struct team_declaration
{
    std::string name;
    resources quota;
    // Principals, as the settings name them, that may submit for the team.
    std::vector<std::string> submitters;

    bool operator==(const team_declaration &) const = default;
};

enum class job_kind : std::uint8_t {
    // Tasks that run until they are cancelled.
    Service,
    // Tasks that start one by one as room is found, and end.
    Batch,
    // Tasks that start together or not at all.
    AllOrNothing,
};

// Where the tasks of a job may be put.
enum class task_spread : std::uint8_t {
    // Wherever room is found.
    Any,
    // Each on a worker of its own.
    Workers,
};

struct job_declaration
{
    std::string name;
    job_kind kind = job_kind::Batch;
    std::string team;
    // What a worker is told to run.
    std::string command;
    std::uint32_t tasks = 1;
    resources each;
    bool checkpointable = false;
    bool urgent = false;
    // The job is given up when not all it needs has started by then.
    std::optional<wall_time> startBy;
    task_spread spread = task_spread::Any;

    bool operator==(const job_declaration &) const = default;
};

// Workers of one shape, as far as the operators know them. Used to refuse what can never run; what
// is placed follows the workers that the platform lists.
struct worker_class_declaration
{
    std::string name;
    std::uint32_t workers = 0;
    std::uint32_t workersPerRack = 8;
    resources each;

    bool operator==(const worker_class_declaration &) const = default;
};

// Which workers form a group, the unit of ownership. No all-or-nothing job spans groups.
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
