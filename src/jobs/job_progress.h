#ifndef PLANTAINGAP_JOBS_JOB_PROGRESS_H
#define PLANTAINGAP_JOBS_JOB_PROGRESS_H

#include "jobs/crash_history.h"
#include "jobs/interference/run_window.h"
#include "jobs/job.h"
#include "jobs/size_figures.h"
#include "jobs/step_advice.h"
#include "jobs/step_wait.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Progress of an accepted job, held in memory by the leader.
namespace plantaingap::jobs {

struct worker;
struct workspace_account;
struct job_run;
struct step_run;

enum class task_phase : std::uint8_t {
    Waiting,
    // A worker is assigned and the assignment is being stored; no order has been sent.
    Recording,
    // The start order was sent.
    Ordered,
    Running,
    // It may be running: the start order had no response, or a previous leader sent it.
    Doubtful,
    Stopping,
    Done,
};

struct task_run
{
    step_run *step = nullptr;
    std::uint32_t index = 0;
    task_phase phase = task_phase::Waiting;
    // Highest attempt number ever stored; 0 before the first.
    std::uint32_t attempt = 0;
    // Attempts counted as failed; a worker may report the same failure again to the next leader.
    // Of a long-running task only the first ones.
    std::vector<std::uint32_t> failedAttempts;
    crash_history crashes;
    // The run is suspected to crash its worker. Nothing else is placed there until it has survived
    // its probation. Members of one gang share their workers.
    bool isolated = false;
    // Set in all phases except Waiting. In phase Done only until the worker shows that the run has
    // ended: the end of another member of its gang has completed it.
    worker *assignedWorker = nullptr;
    // When the worker last acknowledged an order for this attempt. A report requested later that
    // lacks the run shows that the run is being stopped or is gone. None before the first
    // acknowledgement.
    std::optional<time_point> acknowledgedAt;
    // When the first such report arrived.
    std::optional<time_point> missingSince;
    // When this leader sent the start order of this attempt.
    time_point orderedAt {};
    // Of the start order: the incarnation that it names, and the end of its lease on that one's
    // clock, after which it is not executed any more. 0 when unknown; then the lease end is one
    // that no previous leader's order exceeds.
    std::int64_t startIncarnationMs = 0;
    std::int64_t startLeaseEndMs = 0;
    // For a run of a previous leader: the incarnation of its worker that was ordered to start it; 0
    // when unknown.
    std::int64_t recordedIncarnationMs = 0;
    // Earliest time for the next stop order.
    time_point nextStopAt {};
    // Checkpoint from which another run can resume; empty for none.
    std::string checkpoint;
    std::string ticket;
    // Progress in percent as reported by the worker; for a long-running task its percentage of full
    // speed.
    std::uint32_t percent = 0;
    // Local times at which the run started, was last reported and last made progress.
    time_point startedAt {};
    // The run started without a checkpoint under this leader, so its end gives the full duration of
    // the task.
    bool fullRun = false;
    // Total time spent in failed runs of the task.
    duration failedTime {0};
    // Time of the first report of this run and its progress then; nonzero when the run resumed from
    // a checkpoint or started under a previous leader.
    time_point firstReportAt {};
    std::uint32_t firstPercent = 0;
    // The run has been counted in the speed estimate of its worker; a long-running one in its
    // health.
    bool speedObserved = false;
    time_point reportedAt {};
    time_point progressAt {};
    // For a long-running task the tail latency of its requests in milliseconds, else the cores in
    // use in thousandths.
    double measure = 0;
    // Its progress with unchanged neighbours; used only if interference is observed.
    run_window window;
};

// The run is no longer wanted, and its worker has not shown yet that it has ended.
bool awaitsEnd(const task_run &task);

// Estimates the end of a run from its progress, or from the expected task duration while there is
// too little progress.
time_point expectedEnd(const task_run &task);

// A result has no value to the caller after this many times the span of the objective.
inline constexpr int lateSpanFactor = 3;

// What became of the last plan of a waiting gang.
enum class gang_plan_result : std::uint8_t {
    NotPlanned,
    // The allowed workers without a reservation for another gang have too little capacity for all
    // members, now and after their runs have ended.
    TooFewSlots,
    // Other gangs, accepted before it, have claimed all capacity that may be claimed.
    NoShareLeft,
    Reserved,
};

// Planned start of a waiting gang.
struct gang_plan
{
    // When the allowed workers will have capacity for all members; none: too few allowed workers
    // are known.
    std::optional<time_point> startAt;
    // Earliest times of the next planning and of the next request for advice about new workers.
    time_point nextReviewAt {};
    time_point nextDiscoveryAt {};
    // Workers that provide this capacity, and spare workers with capacity soon after.
    std::vector<worker_ref> workers;
    std::vector<worker_ref> spareWorkers;
    // Start that was expected when the capacity was reserved.
    time_point claimedStart {};
    // The capacity is reserved.
    bool reserved = false;
    // For logs: when it was planned, with which result, and how many members had no slot.
    time_point plannedAt {};
    gang_plan_result result = gang_plan_result::NotPlanned;
    std::uint32_t missing = 0;
};

struct occurrence_run
{
    job_run *job = nullptr;
    std::uint32_t number = 0;
    // When the occurrence was due; for a job that runs once, when it was accepted.
    time_point due {};
    std::deque<step_run> steps;
    std::uint32_t stepsDone = 0;
};

struct step_run
{
    occurrence_run *occurrence = nullptr;
    const step_definition *definition = nullptr;
    std::uint32_t number = 0;
    std::vector<task_run> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
    // Failed attempts of the gang as a whole; empty if it is long-running.
    std::vector<std::uint32_t> failedAttempts;
    bool ready = false;
    // Workers on which runs of the step failed in this term; other workers are preferred.
    std::vector<std::string> failedOn;
    // Expected duration of one task, estimated from its declaration and the past runs of its queue.
    milliseconds expectedDuration {0};
    // Max time that a single task lost in failed runs; for a gang the total time of its failed
    // attempts.
    duration failedTime {0};
    step_advice advice;
    // Placement passes examine the step before this time only if few steps that wait go before it.
    // Reset by what lets the step start or ask for advice.
    time_point examineAt {};
    // Failed runs in this term.
    std::uint32_t failedRuns = 0;
    // When a task of the step was last placed as a probe while its kind failed.
    time_point probedAt {};
    gang_plan gang;
    step_wait wait;
    // For a gang that has not started: the start that was expected when its job was accepted.
    std::optional<time_point> predictedStart;
    // End of the objective of the occurrence, and the time after which its result has no value.
    time_point onTimeUntil {};
    time_point lateUntil {};
    // Expected duration of the longest chain of steps from this step to the end, including this
    // step.
    milliseconds remainingChain {0};

    // The limit of its workspace kept a task of it from starting in the last pass that examined it.
    bool heldByLimit = false;
    // Workers have crashed under tasks of the step.
    bool crashed = false;
    // When the last of them was counted in this term.
    time_point lastCrashAt {};
    // Machines, by address, that crashed right after they started a task of the step in this term.
    std::vector<std::string> crashedAt;

    bool finished() const { return done == tasks.size(); }
    // Its turn has come and no task that is left may be running.
    bool waits() const { return ready && waiting > 0 && waiting + done == tasks.size(); }
    bool suspectedGang() const;
};

// For short lists that keep their order.
template<class T>
void addUnique(std::vector<T> &list, const T &value)
{
    if (std::ranges::find(list, value) == list.end())
        list.push_back(value);
}

// How long the step has been waiting with nothing running; zero if it is not.
duration waitOf(const step_run &step, time_point now);

struct job_run
{
    job_definition definition;
    wall_time acceptedAt {};
    // As in the job's row; null if an earlier version wrote the row.
    std::shared_ptr<const queue_record> queueRecord;
    std::map<std::uint32_t, occurrence_run> occurrences;
    std::uint32_t occurrencesDone = 0;
    std::uint32_t occurrencesCreated = 0;
    job_state state = job_state::Queued;
    // The last stored state, which is the state that callers see.
    job_state storedState = job_state::Queued;
    bool everStarted = false;
    // The definition was sent to the store, which may have it.
    bool definitionSent = false;
    // The definition is stored.
    bool stored = false;
    // The stored row has another record of the queue.
    bool queueRecordOutdated = false;
    // The final state is stored, so the caller may be notified of it.
    bool closed = false;
    bool dirty = false;
    // Runs that may outlive the job are stored; the row is deleted once they are gone.
    bool remainingRunsStored = false;
    // Number of runs that may exist on workers.
    std::uint32_t occupying = 0;
    // It was sent beyond the weight of its workspace.
    bool beyondShare = false;
    // Of its workspace; null for none.
    workspace_account *account = nullptr;
    // Set for a job that runs once and was accepted in this term, for counting.
    std::optional<size_band> band;
};

} // namespace plantaingap::jobs

#endif
