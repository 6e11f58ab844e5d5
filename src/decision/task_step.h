#ifndef PLANTAINGAP_DECISION_TASK_STEP_H
#define PLANTAINGAP_DECISION_TASK_STEP_H

#include "decision/task_ledger.h"

#include <optional>

// What one step of the scheduler works with, and the orders that every part of the policy gives.
namespace plantaingap::decision {

enum class timer_kind : std::uint8_t {
    // Looks over what waits.
    Sweep,
    // Goes on with what a step's budget left over.
    Continue,
    // Carries out cancellations that came in a wave.
    Cancel,
    // The time for a checkpoint is over.
    Checkpoint,
    // The stop was not answered.
    StopAgain,
    // A failed task goes back to its queue.
    Retry,
    // The job's startBy has come.
    StartBy,
    // A quarantined worker is tried again.
    Probe,
    // Services are moved off a leaving worker.
    Drain,
};

struct timer
{
    timer_kind kind = timer_kind::Sweep;
    task_id task;
    worker_id worker {};
};

// Timers name what they concern by id, so that a late one finds nothing.
using timer_queue = std::multimap<time_point, timer>;

struct task_step
{
    task_ledger &ledger;
    timer_queue &timers;
    const task_limits &limits;
    time_point now;
    std::vector<task_action> &actions;
    // Starts and stops that this step may still give.
    std::uint32_t budget = 0;
};

// Starts the job's next waiting task on the worker and returns its index.
std::uint32_t startNext(task_step &step, job_record &job, std::uint32_t worker);

// Stops the task, after a checkpoint where it can write one and where that is of use. A checkpoint
// that is not written by checkpointBy is not waited for.
void stopTask(task_step &step, job_record &job, std::uint32_t index, stop_reason reason,
              time_point checkpointBy);

// Stops all tasks of the job, in parts where the step's budget is too small for all.
void stopAll(task_step &step, job_record &job, stop_reason reason);

// The next part of that.
void continueStopAll(task_step &step, job_record &job);

// The checkpoint is written, or its time is over.
void stopAfterCheckpoint(task_step &step, job_record &job, std::uint32_t index);

// Sends the stop order, also when it was sent before.
void orderStop(task_step &step, job_record &job, std::uint32_t index);

} // namespace plantaingap::decision

#endif
