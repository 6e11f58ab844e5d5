#include "decision/usage_reclaim.h"

#include <algorithm>

namespace plantaingap::decision {

namespace {

// Reports before the peak of a task is trusted.
constexpr std::uint32_t enoughReports = 3;

// A task keeps its peak and a third, and never less than an eighth of what it declared.
std::int64_t keptOf(std::int64_t peak, std::int64_t declared)
{
    return std::min(declared, std::max(peak + peak / 3, declared / 8));
}

resources kept(const resources &peak, const resources &declared)
{
    return {keptOf(peak.milliCores, declared.milliCores),
            keptOf(peak.memoryMib, declared.memoryMib), declared.accelerators};
}

void raisePeak(resources &peak, const resources &used)
{
    peak.milliCores = std::max(peak.milliCores, used.milliCores);
    peak.memoryMib = std::max(peak.memoryMib, used.memoryMib);
}

// Above nine tenths of its limit a task is short of room.
bool isShort(std::int64_t used, std::int64_t held)
{
    return used * 10 >= held * 9;
}

void setLimit(task_step &step, job_record &job, std::uint32_t index, const resources &limit)
{
    const auto worker = job.tasks[index].worker;
    step.actions.emplace_back(
        throttle_task {job.taskId(index), step.ledger.worker(worker).id, limit});
    step.ledger.resize(job, index, limit);
}

// Gives the task what it declared as far as the worker has it; false when that changes nothing.
bool giveRoom(task_step &step, job_record &job, std::uint32_t index)
{
    const auto &task = job.tasks[index];
    const auto &worker = step.ledger.worker(task.worker);
    const auto open = worker.open();
    resources limit = task.held;
    limit.milliCores +=
        std::clamp<std::int64_t>(open.milliCores, 0, job.need.milliCores - task.held.milliCores);
    limit.memoryMib +=
        std::clamp<std::int64_t>(open.memoryMib, 0, job.need.memoryMib - task.held.memoryMib);
    if (limit == task.held)
        return false;
    setLimit(step, job, index, limit);
    return true;
}

// The next attempt is given what this one turned out to need, within the largest worker.
void learnNeed(task_step &step, job_record &job, const resources &used)
{
    std::int64_t most = 0;
    for (const auto &known : step.ledger.classes())
        most = std::max(most, known.capacity.memoryMib);
    if (job.reserving || job.claimedTasks > 0)
        step.ledger.dropClaims(job);
    job.need.memoryMib = std::min(most, std::max(job.need.memoryMib, used.memoryMib * 5 / 4));
}

void answerShortage(task_step &step, job_record &job, std::uint32_t index, const resources &used,
                    time_point asOf)
{
    auto &task = job.tasks[index];
    job.keepDeclared = true;
    if (giveRoom(step, job, index) || used.memoryMib <= task.held.memoryMib)
        return;
    if (task.throttledAt == time_point {}) {
        task.throttledAt = step.now;
        step.actions.emplace_back(
            throttle_task {job.taskId(index), step.ledger.worker(task.worker).id, task.held});
        return;
    }
    if (asOf <= task.throttledAt)
        return;
    learnNeed(step, job, used);
    stopTask(step, job, index, stop_reason::OverUse, step.now);
}

} // namespace

void takeUsage(task_step &step, const task_usage &report, time_point asOf)
{
    auto *job = step.ledger.findTask(report.task);
    if (job == nullptr)
        return;
    const auto index = report.task.index;
    auto &task = job->tasks[index];
    if (task.phase != task_phase::Running || asOf <= task.startedAt)
        return;
    raisePeak(task.peak, report.used);
    ++task.reports;
    const bool little = isShort(report.used.milliCores, task.held.milliCores)
                        || isShort(report.used.memoryMib, task.held.memoryMib);
    if (little)
        return answerShortage(step, *job, index, report.used, asOf);
    const bool settled = asOf - task.startedAt >= step.limits.usageSettles;
    if (job->keepDeclared || job->spec.kind != job_kind::Batch || !settled
        || task.reports < enoughReports)
        return;
    auto limit = kept(task.peak, job->need);
    limit.milliCores = std::min(limit.milliCores, task.held.milliCores);
    limit.memoryMib = std::min(limit.memoryMib, task.held.memoryMib);
    // Small gains are not worth an order.
    if (limit.milliCores * 5 < task.held.milliCores * 4
        || limit.memoryMib * 5 < task.held.memoryMib * 4)
        setLimit(step, *job, index, limit);
}

} // namespace plantaingap::decision
