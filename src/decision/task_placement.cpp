#include "decision/task_placement.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

double part(std::int64_t amount, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0.0;
}

double firstFit(const resources &, const resources &, std::uint32_t worker)
{
    return worker;
}

double bestFit(const resources &left, const resources &capacity, std::uint32_t)
{
    return part(left.milliCores, capacity.milliCores) + part(left.memoryMib, capacity.memoryMib)
           + part(left.accelerators, capacity.accelerators);
}

// Best-fit that also keeps what is left in proportion, so that no resource is stranded by another.
double balancedFit(const resources &left, const resources &capacity, std::uint32_t worker)
{
    const double cores = part(left.milliCores, capacity.milliCores);
    const double memory = part(left.memoryMib, capacity.memoryMib);
    const double skew = cores > memory ? cores - memory : memory - cores;
    return bestFit(left, capacity, worker) + 2.0 * skew;
}

std::uint32_t copiesNear(const job_record &job, const worker_record &worker)
{
    if (job.spec.spread == spread_rule::Anywhere || job.spec.spread == spread_rule::OneRack)
        return 0;
    const auto domain = domainOf(job.spec.spread, worker);
    const auto at =
        std::lower_bound(job.domains.begin(), job.domains.end(), std::pair {domain, 0U});
    return at != job.domains.end() && at->first == domain ? at->second : 0;
}

// So many workers whose accelerators must be kept for others end a search.
constexpr std::uint32_t mostSkips = 32;

// Spreading looks at more workers, since the tight ones may share a rack.
constexpr std::uint32_t spreadCandidates = 64;

} // namespace

const std::array<placement_rule, 3> placementRules {{
    {"first-fit", ~0U, firstFit},
    {"best-fit", 16, bestFit},
    {"balanced-fit", 16, balancedFit},
}};

bool accepts(const task_ledger &ledger, const job_record &job, std::uint32_t worker)
{
    const auto &avoided = job.failedWorkers;
    if (std::find(avoided.begin(), avoided.end(), worker) != avoided.end())
        return false;
    return ledger.worker(worker).takesWork() || mutated("tasks.place_unconfirmed");
}

bool strandsAccelerators(const task_ledger &ledger, const job_record &job,
                         const worker_record &worker)
{
    const auto &capacity = worker.capacity;
    if (capacity.accelerators == 0 || job.need.accelerators > 0
        || ledger.teams().waitingForAccelerators() == 0 || job.level == work_level::Urgent)
        return false;
    const auto left = worker.free() - job.need;
    const auto kept = left.accelerators;
    return left.milliCores * 2 * capacity.accelerators < capacity.milliCores * kept
           || left.memoryMib * 2 * capacity.accelerators < capacity.memoryMib * kept;
}

std::optional<std::uint32_t> chooseWorker(const task_ledger &ledger, const job_record &job,
                                          const placement_rule &rule)
{
    const bool spreads =
        job.spec.spread == spread_rule::Racks || job.spec.spread == spread_rule::DataCentres;
    auto candidates = spreads ? std::max(rule.candidates, spreadCandidates) : rule.candidates;
    auto skips = mostSkips;
    std::optional<std::uint32_t> best;
    std::pair<std::uint32_t, double> bestScore;
    const auto need = mutated("tasks.skip_capacity_check") ? resources {} : job.need;
    ledger.open().visitFitting(need, [&](std::uint32_t worker) {
        if (!accepts(ledger, job, worker))
            return true;
        const auto &record = ledger.worker(worker);
        if (strandsAccelerators(ledger, job, record))
            return --skips > 0;
        const auto left = record.open() - job.need;
        const std::pair score {copiesNear(job, record), rule.score(left, record.capacity, worker)};
        if (!best || score < bestScore) {
            best = worker;
            bestScore = score;
        }
        return --candidates > 0;
    });
    return best;
}

std::uint32_t copiesIn(const resources &need, const resources &room)
{
    constexpr std::int64_t many = 1'000'000;
    std::int64_t copies = many;
    if (need.milliCores > 0)
        copies = std::min(copies, room.milliCores / need.milliCores);
    if (need.memoryMib > 0)
        copies = std::min(copies, room.memoryMib / need.memoryMib);
    if (need.accelerators > 0)
        copies = std::min(copies, room.accelerators / need.accelerators);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(copies, 0));
}

} // namespace plantaingap::decision
