#include "decision/task_step.h"

namespace plantaingap::decision {

namespace {

bool needsCheckpoint(const job_record &job, stop_reason reason)
{
    return job.spec.checkpointable
           && (reason == stop_reason::Preempted || reason == stop_reason::WorkerDraining);
}

} // namespace

std::uint32_t startNextTask(task_step &step, job_record &job, std::uint32_t worker)
{
    const auto index = step.ledger.place(job, worker, job.demand, step.now);
    step.actions.emplace_back(start_task {job.taskId(index), step.ledger.worker(worker).id,
                                          job.demand, step.now + step.limits.startWindow});
    if (step.budget > 0)
        --step.budget;
    return index;
}

void stopTask(task_step &step, job_record &job, std::uint32_t index, stop_reason reason,
              time_point checkpointBy)
{
    auto &task = job.tasks[index];
    if (task.phase != task_phase::Starting && task.phase != task_phase::Running)
        return;
    const bool running = task.phase == task_phase::Running;
    step.ledger.setPhase(job, index, task_phase::Stopping);
    task.stopping = reason;
    if (step.budget > 0)
        --step.budget;
    if (!running || !needsCheckpoint(job, reason))
        return sendStop(step, job, index);
    task.checkpointRequested = true;
    const auto id = job.taskId(index);
    step.actions.emplace_back(checkpoint_task {id, step.ledger.worker(task.worker).id});
    step.timers.emplace(checkpointBy, timer {timer_kind::Checkpoint, id});
}

void stopAll(task_step &step, job_record &job, stop_reason reason)
{
    job.stopAllReason = reason;
    job.stopCursor = 0;
    if (job.stoppingAll)
        return;
    job.stoppingAll = true;
    continueStopAll(step, job);
}

void continueStopAll(task_step &step, job_record &job)
{
    const auto checkpointBy = step.now + step.limits.urgentGrace;
    while (job.stopCursor < job.tasks.size() && step.budget > 0) {
        stopTask(step, job, job.stopCursor, job.stopAllReason, checkpointBy);
        ++job.stopCursor;
    }
    job.stoppingAll = job.stopCursor < job.tasks.size();
    if (job.stoppingAll)
        step.timers.emplace(step.now, timer {timer_kind::Continue, {job.spec.job, 0, 0}, {}});
}

void stopAfterCheckpoint(task_step &step, job_record &job, std::uint32_t index)
{
    auto &task = job.tasks[index];
    if (task.phase != task_phase::Stopping || !task.checkpointRequested)
        return;
    task.checkpointRequested = false;
    sendStop(step, job, index);
}

void sendStop(task_step &step, job_record &job, std::uint32_t index)
{
    const auto &task = job.tasks[index];
    const auto id = job.taskId(index);
    step.actions.emplace_back(stop_task {id, step.ledger.worker(task.worker).id, task.stopping});
    step.timers.emplace(step.now + step.limits.stopRetryInterval,
                        timer {timer_kind::ResendStop, id});
}

} // namespace plantaingap::decision
