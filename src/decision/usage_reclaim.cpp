#include "decision/usage_reclaim.h"

#include <algorithm>

namespace plantaingap::decision {

namespace {

// Minimum number of reports before unused capacity is reclaimed.
constexpr std::uint32_t minReports = 3;

// New limit: the peak plus a third, at least one eighth of the declared amount.
std::int64_t reclaimedLimit(std::int64_t peak, std::int64_t declared)
{
    return std::min(declared, std::max(peak + peak / 3, declared / 8));
}

resources reclaimedLimits(const resources &peak, const resources &declared)
{
    return {reclaimedLimit(peak.milliCores, declared.milliCores),
            reclaimedLimit(peak.memoryMib, declared.memoryMib), declared.accelerators};
}

void raisePeak(resources &peak, const resources &used)
{
    peak.milliCores = std::max(peak.milliCores, used.milliCores);
    peak.memoryMib = std::max(peak.memoryMib, used.memoryMib);
}

// True at nine tenths of the limit and above.
bool isNearLimit(std::int64_t used, std::int64_t held)
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

// Raises the limits towards the job's demand as far as the worker has unclaimed capacity. False
// when that changes nothing.
bool raiseLimit(task_step &step, job_record &job, std::uint32_t index)
{
    const auto &task = job.tasks[index];
    const auto &worker = step.ledger.worker(task.worker);
    const auto unclaimed = worker.unclaimed();
    resources limit = task.held;
    limit.milliCores += std::clamp<std::int64_t>(unclaimed.milliCores, 0,
                                                 job.demand.milliCores - task.held.milliCores);
    limit.memoryMib += std::clamp<std::int64_t>(unclaimed.memoryMib, 0,
                                                job.demand.memoryMib - task.held.memoryMib);
    if (limit == task.held)
        return false;
    setLimit(step, job, index, limit);
    return true;
}

// Raises the job's memory demand to five quarters of the reported usage, bounded by the largest
// worker class.
void raiseMemoryDemand(task_step &step, job_record &job, const resources &used)
{
    std::int64_t maxMemoryMib = 0;
    for (const auto &workerClass : step.ledger.classes())
        maxMemoryMib = std::max(maxMemoryMib, workerClass.capacity.memoryMib);
    if (job.reserving || job.claimedTasks > 0)
        step.ledger.releaseAllClaims(job);
    job.demand.memoryMib =
        std::min(maxMemoryMib, std::max(job.demand.memoryMib, used.memoryMib * 5 / 4));
}

void handleShortage(task_step &step, job_record &job, std::uint32_t index, const resources &used,
                    time_point asOf)
{
    auto &task = job.tasks[index];
    job.reclaimDisabled = true;
    if (raiseLimit(step, job, index) || used.memoryMib <= task.held.memoryMib)
        return;
    if (task.throttledAt == time_point {}) {
        task.throttledAt = step.now;
        step.actions.emplace_back(
            throttle_task {job.taskId(index), step.ledger.worker(task.worker).id, task.held});
        return;
    }
    if (asOf <= task.throttledAt)
        return;
    raiseMemoryDemand(step, job, used);
    stopTask(step, job, index, stop_reason::MemoryLimitExceeded, step.now);
}

} // namespace

void applyUsageReport(task_step &step, const task_usage &report, time_point asOf)
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
    const bool isShortOfResources = isNearLimit(report.used.milliCores, task.held.milliCores)
                                    || isNearLimit(report.used.memoryMib, task.held.memoryMib);
    if (isShortOfResources)
        return handleShortage(step, *job, index, report.used, asOf);
    const bool enoughHistory = asOf - task.startedAt >= step.limits.minUsageHistory;
    if (job->reclaimDisabled || job->spec.kind != job_kind::Batch || !enoughHistory
        || task.reports < minReports)
        return;
    auto limit = reclaimedLimits(task.peak, job->demand);
    limit.milliCores = std::min(limit.milliCores, task.held.milliCores);
    limit.memoryMib = std::min(limit.memoryMib, task.held.memoryMib);
    // Lowers the limit only if that frees more than a fifth of processors or memory, to save
    // orders.
    if (limit.milliCores * 5 < task.held.milliCores * 4
        || limit.memoryMib * 5 < task.held.memoryMib * 4)
        setLimit(step, *job, index, limit);
}

} // namespace plantaingap::decision
