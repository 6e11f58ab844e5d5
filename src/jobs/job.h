#ifndef PLANTAINGAP_JOBS_JOB_H
#define PLANTAINGAP_JOBS_JOB_H

#include "jobs/workspaces/workspace.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <plantaingap/resources.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// Jobs as declared by callers, and queues as declared by operators. A job definition does not
// change after acceptance.
namespace plantaingap::jobs {

using std::chrono::milliseconds;

// One step of a job: a number of identical tasks.
struct step_definition
{
    std::uint32_t tasks = 0;
    resources demand;
    // Declared duration of one task; often inaccurate.
    milliseconds estimate {0};
    // Indices from 0 of steps whose tasks must all be done before a task of this step starts.
    std::vector<std::uint32_t> after;
    // All tasks run at the same time or not at all, and finish together.
    bool gang = false;
    // The tasks take longer when they are spread over more than one rack.
    bool singleRack = false;
    // Tasks report checkpoints from which another run can resume.
    bool checkpoints = false;
    // Speculative copies of a task may run in parallel.
    bool speculative = false;
    // Tasks run until the job is cancelled and are restarted whenever they end.
    bool longRunning = false;
    // Tasks run on cores that other tasks leave idle; no cores are reserved for them.
    bool bestEffort = false;
    // Label that a worker must have; empty for any worker.
    std::string label;
    // Rack that holds the data; tasks take longer on other racks. Empty for none.
    std::string dataRack;
    // What the tasks execute; tasks with the same image behave alike.
    std::string image;
    // Max tasks of this step of one occurrence on one worker; 0 for unlimited.
    std::uint32_t maxPerWorker = 0;
    // Limit for the tail latency of requests served by a long-running task; 0 for none.
    milliseconds latencyTarget {0};
    // Max tasks of a long-running step that the scheduler may have stopped at the same time; none:
    // unlimited.
    std::optional<std::uint32_t> maxUnavailable;

    bool operator==(const step_definition &) const = default;
};

// Most tasks of all steps of a job, and of its live occurrences. The record of a job is rewritten
// with each change of a task and must fit into one row of the store.
inline constexpr std::uint32_t maxJobTasks = 4'000;

struct job_definition
{
    // Chosen by the caller; 16 hexadecimal digits.
    std::string id;
    // Name of the queue in the configuration.
    std::string queue;
    // Name of the workspace that submitted it; empty for none.
    std::string workspace;
    // Passed to each task unchanged.
    std::string payload;
    std::vector<step_definition> steps;
    // Number of scheduled occurrences of the steps; 0 for a job that runs once, immediately.
    std::uint32_t occurrences = 0;
    wall_time firstDue {};
    milliseconds interval {0};

    bool operator==(const job_definition &) const = default;
};

// Cost and ticket validity of the placement advisor that must allow the workers for the steps of a
// queue.
struct advisor_cost
{
    // Fixed duration of a call.
    std::chrono::microseconds perCall {0};
    // Additional duration for each worker named in the call.
    std::chrono::microseconds perWorker {0};
    // Lifetime of a ticket.
    milliseconds validity {0};

    bool operator==(const advisor_cost &) const = default;
};

// A queue of jobs as declared in the active configuration.
struct queue_definition
{
    std::string name;
    std::string host;
    // Path prefix of requests for the queue.
    std::string prefix;
    std::string service;
    // 0 is the highest priority.
    std::uint32_t priority = 0;
    // Number of failed runs of one task after which its job fails.
    std::uint32_t attempts = 1;
    // The objective of a job is stretch times its longest chain of steps, plus slack.
    double stretch = 1.0;
    milliseconds slack {0};
    std::optional<advisor_cost> advisor;
    // Requests for the queue need no key.
    bool open = false;

    bool operator==(const queue_definition &) const = default;
};

// A queue as a configuration declares it, stored with each of its jobs: they may outlive it, and a
// new leader knows no former configuration. Without host and path prefix, as it gets no further
// requests.
struct queue_record
{
    // The configuration that declares it.
    std::uint64_t version = 0;
    queue_definition queue;

    bool operator==(const queue_record &) const = default;
};

// The part of the active configuration that concerns jobs.
struct cell_configuration
{
    std::uint64_t version = 0;
    std::vector<queue_definition> queues;
    // Empty where callers need no keys.
    std::vector<workspace_definition> workspaces;
    // Services whose machines are switched off and can be moved to other services.
    std::vector<std::string> spareServices;
    // By service: the connections that one of its workers accepts from all instances together.
    std::map<std::string, std::uint32_t, std::less<>> connectionLimits;
    std::uint32_t bodyBytes = 262'144;
    // Workspaces that could not be read, such as "workspace 2".
    std::vector<std::string> unreadable;
    // Queues that could not be read and are left out, such as "queue 2". The others are served.
    std::vector<std::string> ignored;

    // Returns the queue with that host and the longest matching path prefix, or null.
    const queue_definition *find(std::string_view host, std::string_view path) const;
    const queue_definition *byName(std::string_view name) const;
    // Null for an unknown workspace.
    const workspace_definition *workspace(std::string_view name) const;
};

enum class job_state : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

// How a run of a task ended, as reported by the worker.
enum class run_outcome : std::uint8_t {
    Done,
    // Caused by the task or by the worker.
    Failed,
    Stopped,
    // The lease of the worker expired.
    LeaseExpired,
    // Another member of the gang ended.
    GangMemberEnded,
    // The other members of the gang did not start in time.
    GangIncomplete,
};

// Identifies a task within a cell; written as ID.OCCURRENCE.STEP.INDEX in orders to workers.
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_name &) const = default;
    std::string text() const;
    static std::optional<task_name> parse(std::string_view text);
};

} // namespace plantaingap::jobs

#endif
