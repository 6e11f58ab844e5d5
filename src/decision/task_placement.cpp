#include "decision/task_placement.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

double fraction(std::int64_t amount, std::int64_t total)
{
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
}

double firstFit(const resources &, const resources &, std::uint32_t worker)
{
    return worker;
}

double bestFit(const resources &left, const resources &capacity, std::uint32_t)
{
    return fraction(left.milliCores, capacity.milliCores)
           + fraction(left.memoryMib, capacity.memoryMib)
           + fraction(left.accelerators, capacity.accelerators);
}

// Best-fit with a penalty for leaving processors and memory in different proportions, which would
// strand the more plentiful one.
double balancedFit(const resources &left, const resources &capacity, std::uint32_t worker)
{
    const double cores = fraction(left.milliCores, capacity.milliCores);
    const double memory = fraction(left.memoryMib, capacity.memoryMib);
    const double skew = cores > memory ? cores - memory : memory - cores;
    return bestFit(left, capacity, worker) + 2.0 * skew;
}

// Placed tasks of the job in the worker's rack or data centre; 0 for jobs that don't spread.
std::uint32_t countInDomain(const job_record &job, const worker_record &worker)
{
    if (job.spec.spread == spread_rule::Anywhere || job.spec.spread == spread_rule::SingleRack)
        return 0;
    const auto domain = domainOf(job.spec.spread, worker);
    const auto it =
        std::lower_bound(job.domains.begin(), job.domains.end(), std::pair {domain, 0U});
    return it != job.domains.end() && it->first == domain ? it->second : 0;
}

// A search ends after this many workers were skipped to avoid stranding their accelerators.
constexpr std::uint32_t maxSkips = 32;

// Spreading jobs compare more workers, since the tightest ones may share a rack.
constexpr std::uint32_t spreadCandidates = 64;

} // namespace

const std::array<placement_rule, 3> placementRules {{
    {"first-fit", ~0U, firstFit},
    {"best-fit", 16, bestFit},
    {"balanced-fit", 16, balancedFit},
}};

bool accepts(const task_ledger &ledger, const job_record &job, std::uint32_t worker)
{
    const auto &excludedWorkers = job.failedWorkers;
    if (std::find(excludedWorkers.begin(), excludedWorkers.end(), worker) != excludedWorkers.end())
        return false;
    return ledger.worker(worker).isSchedulable() || mutated("tasks.place_unconfirmed");
}

bool strandsAccelerators(const task_ledger &ledger, const job_record &job,
                         const worker_record &worker)
{
    const auto &capacity = worker.capacity;
    if (capacity.accelerators == 0 || job.demand.accelerators > 0
        || ledger.teams().waitingForAccelerators() == 0 || job.level == work_level::Urgent)
        return false;
    const auto left = worker.free() - job.demand;
    const auto freeAccelerators = left.accelerators;
    return left.milliCores * 2 * capacity.accelerators < capacity.milliCores * freeAccelerators
           || left.memoryMib * 2 * capacity.accelerators < capacity.memoryMib * freeAccelerators;
}

std::optional<std::uint32_t> chooseWorker(const task_ledger &ledger, const job_record &job,
                                          const placement_rule &rule)
{
    const bool spreads =
        job.spec.spread == spread_rule::Racks || job.spec.spread == spread_rule::DataCentres;
    auto candidatesLeft = spreads ? std::max(rule.candidates, spreadCandidates) : rule.candidates;
    auto skipsLeft = maxSkips;
    std::optional<std::uint32_t> best;
    std::pair<std::uint32_t, double> bestScore;
    const auto demand = mutated("tasks.skip_capacity_check") ? resources {} : job.demand;
    ledger.unclaimed().visitFitting(demand, [&](std::uint32_t worker) {
        if (!accepts(ledger, job, worker))
            return true;
        const auto &record = ledger.worker(worker);
        if (strandsAccelerators(ledger, job, record))
            return --skipsLeft > 0;
        const auto left = record.unclaimed() - job.demand;
        const std::pair score {countInDomain(job, record),
                               rule.score(left, record.capacity, worker)};
        if (!best || score < bestScore) {
            best = worker;
            bestScore = score;
        }
        return --candidatesLeft > 0;
    });
    return best;
}

std::uint32_t countFitting(const resources &demand, const resources &available)
{
    constexpr std::int64_t maxCount = 1'000'000;
    std::int64_t taskCount = maxCount;
    if (demand.milliCores > 0)
        taskCount = std::min(taskCount, available.milliCores / demand.milliCores);
    if (demand.memoryMib > 0)
        taskCount = std::min(taskCount, available.memoryMib / demand.memoryMib);
    if (demand.accelerators > 0)
        taskCount = std::min(taskCount, available.accelerators / demand.accelerators);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(taskCount, 0));
}

} // namespace plantaingap::decision
