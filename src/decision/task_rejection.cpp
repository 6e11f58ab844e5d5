#include "decision/task_rejection.h"

#include "decision/task_placement.h"

#include <algorithm>

namespace plantaingap::decision {

namespace {

reject_reason findMismatch(const resources &capacity, const resources &demand)
{
    if (demand.milliCores > capacity.milliCores)
        return reject_reason::TooManyProcessors;
    if (demand.memoryMib > capacity.memoryMib)
        return reject_reason::TooMuchMemory;
    if (demand.accelerators > capacity.accelerators)
        return reject_reason::TooManyAccelerators;
    return reject_reason::TooManyTasks;
}

// Maximum number of tasks that the empty group, or for SingleRack its largest rack, can hold.
std::uint64_t maxConcurrentTasks(const task_ledger &ledger, const job_submitted &job)
{
    std::map<rack_id, std::uint64_t> racks;
    std::uint64_t inGroup = 0;
    std::uint64_t maxInRack = 0;
    for (std::uint32_t index = 0; index < ledger.workerCount(); ++index) {
        const auto &worker = ledger.worker(index);
        if (worker.removed)
            continue;
        const auto taskCount = countFitting(job.perTask, worker.capacity);
        inGroup += taskCount;
        if (job.spread == spread_rule::SingleRack)
            maxInRack = std::max(maxInRack, racks[worker.rack] += taskCount);
    }
    return job.spread == spread_rule::SingleRack ? maxInRack : inGroup;
}

} // namespace

std::vector<class_rejection> findInfeasibility(const task_ledger &ledger, const job_submitted &job)
{
    std::vector<class_rejection> reasons;
    bool fitsSomewhere = false;
    for (const auto &workerClass : ledger.classes()) {
        if (workerClass.workers == 0)
            continue;
        reasons.push_back({workerClass.kind, findMismatch(workerClass.capacity, job.perTask)});
        fitsSomewhere = fitsSomewhere || job.perTask.fitsIn(workerClass.capacity);
    }
    if (!fitsSomewhere || job.kind != job_kind::AllOrNothing)
        return fitsSomewhere ? std::vector<class_rejection> {} : reasons;
    if (maxConcurrentTasks(ledger, job) >= job.tasks)
        return {};
    return reasons;
}

} // namespace plantaingap::decision
