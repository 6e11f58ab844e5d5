#include "decision/task_rejection.h"

#include "decision/task_placement.h"

#include <algorithm>

namespace plantaingap::decision {

namespace {

reject_reason whyNotOn(const resources &capacity, const resources &each)
{
    if (each.milliCores > capacity.milliCores)
        return reject_reason::TooManyProcessors;
    if (each.memoryMib > capacity.memoryMib)
        return reject_reason::TooMuchMemory;
    if (each.accelerators > capacity.accelerators)
        return reject_reason::TooManyAccelerators;
    return reject_reason::TooManyTasks;
}

// The most tasks that one rack, or the whole group, could hold when empty.
std::uint64_t mostTogether(const task_ledger &ledger, const job_submitted &job)
{
    std::map<rack_id, std::uint64_t> racks;
    std::uint64_t all = 0;
    std::uint64_t most = 0;
    for (std::uint32_t at = 0; at < ledger.workerCount(); ++at) {
        const auto &worker = ledger.worker(at);
        if (worker.gone)
            continue;
        const auto copies = copiesIn(job.each, worker.capacity);
        all += copies;
        if (job.spread == spread_rule::OneRack)
            most = std::max(most, racks[worker.rack] += copies);
    }
    return job.spread == spread_rule::OneRack ? most : all;
}

} // namespace

std::vector<class_rejection> whyNever(const task_ledger &ledger, const job_submitted &job)
{
    std::vector<class_rejection> reasons;
    bool fitsSomewhere = false;
    for (const auto &known : ledger.classes()) {
        if (known.workers == 0)
            continue;
        reasons.push_back({known.kind, whyNotOn(known.capacity, job.each)});
        fitsSomewhere = fitsSomewhere || job.each.fitsIn(known.capacity);
    }
    if (!fitsSomewhere || job.kind != job_kind::AllOrNothing)
        return fitsSomewhere ? std::vector<class_rejection> {} : reasons;
    if (mostTogether(ledger, job) >= job.tasks)
        return {};
    return reasons;
}

} // namespace plantaingap::decision
