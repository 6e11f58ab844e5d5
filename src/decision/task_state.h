#ifndef PLANTAINGAP_DECISION_TASK_STATE_H
#define PLANTAINGAP_DECISION_TASK_STATE_H

#include <array>
#include <deque>
#include <plantaingap/mutation.h>
#include <plantaingap/task_scheduler.h>
#include <utility>
#include <vector>

// Records of workers, jobs and tasks. task_ledger maintains them and the sums over them.
namespace plantaingap::decision {

struct job_record;

enum class task_phase : std::uint8_t {
    // In the job's queue.
    Waiting,
    // Failed; returns to the queue after its retry delay.
    Delayed,
    Starting,
    Running,
    // A stop, or a checkpoint before the stop, was requested.
    Stopping,
    // On an unreachable worker; may still be running.
    Uncertain,
    Finished,
    // Failed permanently; not retried.
    Failed,
    Count,
};

// True while the task may be using a worker's capacity.
constexpr bool isPlaced(task_phase phase)
{
    return phase == task_phase::Starting || phase == task_phase::Running
           || phase == task_phase::Stopping || phase == task_phase::Uncertain;
}

struct task_record
{
    task_phase phase = task_phase::Waiting;
    bool checkpointRequested = false;
    // Backfill: uses capacity reserved for another job until that job starts.
    bool backfill = false;
    stop_reason stopping = stop_reason::Cancelled;
    std::uint32_t worker = 0;
    // Index of the task in its worker's task list.
    std::uint32_t position = 0;
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    // Workers that were lost right after they started the task.
    std::uint32_t crashes = 0;
    resources held;
    time_point startedAt {};
    // Time of the last checkpoint, or of the start. Only work after it is lost by a stop.
    time_point lastCheckpointAt {};
    // Peak usage reported for this attempt, and the number of reports.
    resources peak;
    std::uint32_t reports = 0;
    // When its limit was enforced because of excess memory usage; time_point {} if never.
    time_point throttledAt {};
};

struct task_ref
{
    job_record *job = nullptr;
    std::uint32_t index = 0;
};

// Capacity reserved on one worker for count tasks of a job.
struct claim
{
    job_record *job = nullptr;
    std::uint32_t count = 0;
};

struct worker_record
{
    worker_id id {};
    worker_class kind {};
    rack_id rack {};
    data_centre_id dataCentre {};
    resources capacity;
    // Sum of the resources held by its tasks.
    resources used;
    // Sum of all claims. May exceed the free capacity while tasks are still stopping.
    resources claimed;
    // Part of used that is held by preemptible tasks.
    resources preemptible;
    // Tasks that the worker reported and that are not in tasks, and the sum of what they hold. May
    // exceed the capacity that tasks leave.
    std::vector<running_task> unaccountedTasks;
    resources unaccounted;
    std::vector<task_ref> tasks;
    std::vector<claim> claims;
    std::uint64_t joinSequence = 0;
    bool removed = false;
    bool confirmed = false;
    bool lost = false;
    bool draining = false;
    bool quarantined = false;
    time_point drainDeadline {};
    time_point lostAt {};
    // Distinct jobs that failed here since the last success.
    std::vector<job_id> failedJobs;
    std::uint32_t quarantines = 0;
    // A probe task runs on the quarantined worker.
    bool probing = false;

    resources free() const
    {
        return capacity - used - (mutated("tasks.skip_unaccounted") ? resources {} : unaccounted);
    }
    resources unclaimed() const { return free() - claimed; }
    bool isSchedulable() const
    {
        return confirmed && !removed && !lost && !draining && !quarantined;
    }
};

// Scheduling priority, highest first. Within a level the team with the smallest dominant share
// comes first.
enum class work_level : std::uint8_t { Urgent, Service, Normal, Idle, Count };

constexpr auto workLevels = static_cast<std::size_t>(work_level::Count);

constexpr work_level levelOf(const job_submitted &job)
{
    if (job.urgency == job_urgency::Urgent)
        return work_level::Urgent;
    if (job.urgency == job_urgency::Idle)
        return work_level::Idle;
    return job.kind == job_kind::Service ? work_level::Service : work_level::Normal;
}

struct job_record
{
    job_submitted spec;
    // Resources given to each task: as declared, or more memory after a task exceeded its limit.
    resources demand;
    // A task ran short of resources, so no unused capacity is reclaimed from this job any more.
    bool reclaimDisabled = false;
    work_level level = work_level::Normal;
    // Order of acceptance.
    std::uint64_t sequence = 0;
    time_point acceptedAt {};
    // When a task of the job was last started, or when the job was accepted.
    time_point lastStartAt {};
    std::vector<task_record> tasks;
    std::array<std::uint32_t, static_cast<std::size_t>(task_phase::Count)> counts {};
    // Waiting tasks in the order in which they will be started.
    std::deque<std::uint32_t> waiting;
    bool queued = false;
    bool cancelled = false;
    // Last joinSequence at acceptance: a recovered job waits for all workers up to it.
    std::uint64_t barrier = 0;
    // Number of tasks for which this job has claims, and the workers concerned.
    std::uint32_t claimedTasks = 0;
    std::vector<std::uint32_t> claimedWorkers;
    time_point reservedAt {};
    time_point nextReview {};
    time_point nextAttempt {};
    bool reserving = false;
    // The tasks on the claimed capacity are being stopped, and no new backfill is started there.
    bool backfillClosed = false;
    // Placed tasks per rack or data centre, sorted, for jobs that spread.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> domains;
    // Distinct workers on which the job failed before any success.
    std::vector<std::uint32_t> failedWorkers;
    bool everSucceeded = false;
    // Outcome of a job whose tasks are being stopped, once cancelled is set.
    job_outcome cancelOutcome = job_outcome::Succeeded;
    // All tasks are being stopped; index of the next task to stop, and the reason.
    bool stoppingAll = false;
    std::uint32_t stopCursor = 0;
    stop_reason stopAllReason = stop_reason::Cancelled;

    std::uint32_t count(task_phase phase) const { return counts[static_cast<std::size_t>(phase)]; }
    std::uint32_t placed() const
    {
        return count(task_phase::Starting) + count(task_phase::Running)
               + count(task_phase::Stopping) + count(task_phase::Uncertain);
    }
    task_id taskId(std::uint32_t index) const { return {spec.job, index, tasks[index].attempt}; }
};

} // namespace plantaingap::decision

#endif
