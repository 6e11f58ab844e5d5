#ifndef PLANTAINGAP_DECISION_TASK_STEP_H
#define PLANTAINGAP_DECISION_TASK_STEP_H

#include "decision/task_ledger.h"

#include <optional>

// Context of one scheduler step, and the start and stop orders shared by all parts of the policy.
namespace plantaingap::decision {

enum class timer_kind : std::uint8_t {
    // Re-evaluates the waiting jobs.
    Sweep,
    // Continues work on a job that exceeded a step's budget.
    Continue,
    // Executes deferred cancellations.
    Cancel,
    // Checkpoint timeout.
    Checkpoint,
    // Resends an unacknowledged stop.
    ResendStop,
    // Returns a failed task to its job's queue.
    Retry,
    // The job's startBy has passed.
    StartBy,
    // Probes a quarantined worker.
    Probe,
    // Continues to move services off a draining worker.
    Drain,
};

struct timer
{
    timer_kind kind = timer_kind::Sweep;
    task_id task;
    worker_id worker {};
};

// Timers refer to their subject by id, so that an outdated timer finds nothing.
using timer_queue = std::multimap<time_point, timer>;

struct task_step
{
    task_ledger &ledger;
    timer_queue &timers;
    const task_limits &limits;
    time_point now;
    std::vector<task_action> &actions;
    // Starts and stops that this step may still emit.
    std::uint32_t budget = 0;
};

// Starts the job's next waiting task on the worker and returns its index.
std::uint32_t startNextTask(task_step &step, job_record &job, std::uint32_t worker);

// Stops the task, after a checkpoint if the task supports it and will be restarted. The stop is
// sent at checkpointBy even if the checkpoint is not written.
void stopTask(task_step &step, job_record &job, std::uint32_t index, stop_reason reason,
              time_point checkpointBy);

// Stops all tasks of the job, over several steps if they exceed the step's budget.
void stopAll(task_step &step, job_record &job, stop_reason reason);

// Continues stopAll() in a later step.
void continueStopAll(task_step &step, job_record &job);

// Sends the stop once the checkpoint is written or has timed out.
void stopAfterCheckpoint(task_step &step, job_record &job, std::uint32_t index);

// Emits the stop order and schedules its resend.
void sendStop(task_step &step, job_record &job, std::uint32_t index);

} // namespace plantaingap::decision

#endif
