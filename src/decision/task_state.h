#ifndef PLANTAINGAP_DECISION_TASK_STATE_H
#define PLANTAINGAP_DECISION_TASK_STATE_H

#include <array>
#include <deque>
#include <plantaingap/task_scheduler.h>
#include <utility>
#include <vector>

// The records of workers, jobs and tasks. They are changed by task_ledger alone, which keeps the
// sums over them.
namespace plantaingap::decision {

struct job_record;

enum class task_phase : std::uint8_t {
    // In the job's queue.
    Waiting,
    // Failed; goes back to the queue at its retry time.
    Delayed,
    Starting,
    Running,
    // Told to stop, or to write a checkpoint before it is.
    Stopping,
    // On a worker that cannot be reached.
    Uncertain,
    Finished,
    // Failed for good.
    Failed,
    Count,
};

// True while the task may hold a worker's capacity.
constexpr bool isPlaced(task_phase phase)
{
    return phase == task_phase::Starting || phase == task_phase::Running
           || phase == task_phase::Stopping || phase == task_phase::Uncertain;
}

struct task_record
{
    task_phase phase = task_phase::Waiting;
    bool checkpointAsked = false;
    // Runs in room that is set aside for another job until that job starts.
    bool backfill = false;
    stop_reason stopping = stop_reason::Cancelled;
    std::uint32_t worker = 0;
    // Where the task stands in its worker's list.
    std::uint32_t position = 0;
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    resources held;
    time_point startedAt {};
    // Work before this is not lost when the task is stopped.
    time_point savedAt {};
    // The most that reports of this attempt showed, and how many reports that were.
    resources peak;
    std::uint32_t reports = 0;
    // Held to its limit since then; its epoch when it never was.
    time_point throttledAt {};
};

struct task_ref
{
    job_record *job = nullptr;
    std::uint32_t index = 0;
};

// Capacity of one worker that is set aside for a job.
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
    // Held by tasks.
    resources used;
    // Set aside by claims; may exceed what is free while tasks are still ending.
    resources claimed;
    // Held by tasks that may be told to give way.
    resources yielding;
    std::vector<task_ref> tasks;
    std::vector<claim> claims;
    std::uint64_t joinSequence = 0;
    bool gone = false;
    bool confirmed = false;
    bool lost = false;
    bool draining = false;
    bool quarantined = false;
    time_point leaveBy {};
    // Failures in a row, at most one per job, and what they are judged by.
    std::vector<job_id> failedJobs;
    std::uint32_t quarantines = 0;
    // One task is tried on the quarantined worker.
    bool probing = false;

    resources free() const { return capacity - used; }
    resources open() const { return capacity - used - claimed; }
    bool takesWork() const { return confirmed && !gone && !lost && !draining && !quarantined; }
};

// Work is taken in this order; inside a level the team with the smallest share comes first.
enum class work_level : std::uint8_t { Urgent, Service, Normal, Idle, Count };

constexpr auto workLevels = static_cast<std::size_t>(work_level::Count);

constexpr work_level levelOf(const job_submitted &job)
{
    if (job.urgent == urgency::Urgent)
        return work_level::Urgent;
    if (job.urgent == urgency::Idle)
        return work_level::Idle;
    return job.kind == job_kind::Service ? work_level::Service : work_level::Normal;
}

struct job_record
{
    job_submitted spec;
    // What each task is given: as declared, or more after it proved too small.
    resources need;
    // Its tasks once used what had been reclaimed from them.
    bool keepDeclared = false;
    work_level level = work_level::Normal;
    // Order of acceptance.
    std::uint64_t sequence = 0;
    time_point acceptedAt {};
    // When a task of the job was last started, or the job accepted.
    time_point servedAt {};
    std::vector<task_record> tasks;
    std::array<std::uint32_t, static_cast<std::size_t>(task_phase::Count)> counts {};
    // Tasks that wait, in order.
    std::deque<std::uint32_t> waiting;
    bool queued = false;
    bool cancelled = false;
    // A recovered job waits for workers that joined up to here.
    std::uint64_t barrier = 0;
    // Claims of this job over all workers.
    std::uint32_t claimedTasks = 0;
    std::vector<std::uint32_t> claimedWorkers;
    time_point reservedAt {};
    time_point nextReview {};
    time_point nextAttempt {};
    bool reserving = false;
    // What still runs in the claimed room has been told to end; nothing new is let in.
    bool filling = false;
    // Copies per rack or data centre, for jobs that spread.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> domains;
    // Distinct workers on which the job failed before any success.
    std::vector<std::uint32_t> failedWorkers;
    bool everSucceeded = false;
    // How a job ends that is cancelled, or wound down for another reason.
    job_outcome endsAs = job_outcome::Succeeded;
    // All tasks are being stopped; the first one that has not been told yet, and why.
    bool stoppingAll = false;
    std::uint32_t cursor = 0;
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
