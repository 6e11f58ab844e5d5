#ifndef PLANTAINGAP_JOBS_JOB_H
#define PLANTAINGAP_JOBS_JOB_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <plantaingap/resources.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// What callers and operators declare about jobs of steps. Nothing here changes after acceptance.
namespace plantaingap::jobs {

using std::chrono::milliseconds;

// One step of a job: a number of like tasks.
struct step_definition
{
    std::uint32_t tasks = 0;
    resources demand;
    // How long one task is said to take; often far off.
    milliseconds estimate {0};
    // Steps, counted from 0, whose tasks must all be done before one of this step starts.
    std::vector<std::uint32_t> after;
    // All tasks run at the same time or not at all, and end together.
    bool gang = false;
    // Tasks on more than one rack take longer.
    bool singleRack = false;
    // Tasks report progress from which another run can resume.
    bool checkpoints = false;
    // Copies of a task may run side by side.
    bool speculative = false;
    // Tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    // Tasks use the processors that others leave idle; their cores are not reserved.
    bool bestEffort = false;
    // A label that the worker must have; empty for any.
    std::string label;
    // The rack that holds the data; elsewhere tasks take longer. Empty for none.
    std::string dataRack;
    // What the tasks execute; tasks of one image behave alike.
    std::string image;
    // Most tasks of one occurrence of this step on one worker; 0 for no bound.
    std::uint32_t maxPerWorker = 0;
    // Bound on the tail latency that a lasting task's own users see; 0 for none.
    milliseconds latencyTarget {0};
    // How many tasks of a lasting step the scheduler may take down at once; none: unbounded.
    std::optional<std::uint32_t> maxUnavailable;

    bool operator==(const step_definition &) const = default;
};

struct job_definition
{
    // Chosen by the caller; sixteen hexadecimal digits.
    std::string id;
    // The queue's name in the configuration.
    std::string queue;
    // Handed to each task as it is.
    std::string payload;
    std::vector<step_definition> steps;
    // How often the steps run at set times; 0 for a job that runs once, at once.
    std::uint32_t occurrences = 0;
    wall_time firstDue {};
    milliseconds interval {0};

    bool operator==(const job_definition &) const = default;
};

// The advisor that must name the workers on which a queue's steps may run.
struct advisor_cost
{
    // Fixed time of one call.
    std::chrono::microseconds perCall {0};
    // Time added for each worker that is named in a call.
    std::chrono::microseconds perWorker {0};
    // How long a ticket can be used after it was given.
    milliseconds validity {0};

    bool operator==(const advisor_cost &) const = default;
};

// A queue of jobs as the configuration in force declares it.
struct queue_definition
{
    std::string name;
    std::string host;
    // Paths that begin with this belong to the queue.
    std::string prefix;
    std::string service;
    // 0 is served first.
    std::uint32_t priority = 0;
    // Failed runs of one task after which its job has failed.
    std::uint32_t attempts = 1;
    // A job is on time within stretch times its longest chain of work, and slack more.
    double stretch = 1.0;
    milliseconds slack {0};
    std::optional<advisor_cost> advisor;

    bool operator==(const queue_definition &) const = default;
};

// The configuration in force, as far as jobs are concerned.
struct cell_configuration
{
    std::uint64_t version = 0;
    std::vector<queue_definition> queues;
    // Services whose machines are switched off and may be moved to other services.
    std::vector<std::string> spareServices;
    std::uint32_t bodyBytes = 262'144;

    // The queue of a request: equal host, longest prefix of the path; null for none.
    const queue_definition *find(std::string_view host, std::string_view path) const;
    const queue_definition *byName(std::string_view name) const;
};

enum class job_state : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

// How a run of a task ended, as the worker tells it.
enum class run_outcome : std::uint8_t {
    Done,
    // Through its own fault or the worker's.
    Failed,
    Stopped,
    // The worker's lease ran out.
    LeaseExpired,
    // Another member of the gang ended.
    GangMemberEnded,
    // A member of a gang waited too long for the others.
    GangIncomplete,
};

// One task within a cell: ID.OCCURRENCE.STEP.INDEX on the worker's side.
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
