#include "decision/all_or_nothing.h"

#include "decision/preemption.h"
#include "decision/task_dispatch.h"
#include "decision/task_placement.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Interval at which a reservation checks whether stopping tasks would complete it.
constexpr auto reviewInterval = std::chrono::milliseconds(500);

// Number of tasks of a job that fit on a worker.
struct worker_fit
{
    std::uint32_t worker = 0;
    std::uint32_t taskCount = 0;
    // Sort key; workers with a smaller rank are used first.
    std::int64_t rank = 0;
};

using worker_fits = std::vector<worker_fit>;

std::uint64_t totalTasks(const worker_fits &candidates)
{
    std::uint64_t taskCount = 0;
    for (const auto &fit : candidates)
        taskCount += fit.taskCount;
    return taskCount;
}

worker_fits findUnclaimedFits(const task_step &step, const job_record &job)
{
    worker_fits fits;
    step.ledger.unclaimed().visitFitting(job.demand, [&](std::uint32_t worker) {
        if (accepts(step.ledger, job, worker))
            fits.push_back(
                {worker, countFitting(job.demand, step.ledger.worker(worker).unclaimed()), 0});
        return true;
    });
    return fits;
}

// Workers by the capacity that is unclaimed or held by preemptible tasks. Those on which more tasks
// fit without preemption come first.
worker_fits findPreemptibleFits(const task_step &step, const job_record &job)
{
    worker_fits fits;
    step.ledger.freeOrPreemptible().visitFitting(job.demand, [&](std::uint32_t worker) {
        const auto &record = step.ledger.worker(worker);
        const auto available = record.unclaimed() + record.preemptible;
        const auto taskCount =
            accepts(step.ledger, job, worker) ? countFitting(job.demand, available) : 0;
        const auto free = countFitting(job.demand, record.unclaimed());
        if (taskCount > 0)
            fits.push_back({worker, taskCount, -static_cast<std::int64_t>(free)});
        return true;
    });
    return fits;
}

// Restricts the candidates to the rack with the least capacity that still fits the whole job. If no
// rack fits the job, returns no candidates when the job requires a single rack, and otherwise all
// of them, ordered by descending capacity of their racks.
worker_fits packIntoRacks(const task_step &step, const job_record &job, worker_fits candidates,
                          std::uint64_t requiredTasks)
{
    std::map<rack_id, std::uint64_t> racks;
    for (const auto &fit : candidates)
        racks[step.ledger.worker(fit.worker).rack] += fit.taskCount;
    const rack_id *bestRack = nullptr;
    for (const auto &[rack, taskCount] : racks) {
        if (taskCount >= requiredTasks && (bestRack == nullptr || taskCount < racks[*bestRack]))
            bestRack = &rack;
    }
    if (bestRack == nullptr && job.spec.spread == spread_rule::SingleRack)
        return {};
    const auto rackOf = [&](const worker_fit &fit) { return step.ledger.worker(fit.worker).rack; };
    if (bestRack != nullptr) {
        std::erase_if(candidates, [&](const auto &fit) { return rackOf(fit) != *bestRack; });
        return candidates;
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const auto &left, const auto &right) {
                         const auto a = racks[rackOf(left)];
                         const auto b = racks[rackOf(right)];
                         return a != b ? a > b : rackOf(left) < rackOf(right);
                     });
    return candidates;
}

// Distributes single tasks over the domains in round-robin order, for jobs that spread.
worker_fits spreadOverDomains(const task_step &step, const job_record &job,
                              const worker_fits &candidates)
{
    std::map<std::uint32_t, std::uint32_t> perDomain;
    worker_fits interleaved;
    for (const auto &fit : candidates) {
        const auto domain = domainOf(job.spec.spread, step.ledger.worker(fit.worker));
        for (std::uint32_t task = 0; task < fit.taskCount; ++task)
            interleaved.push_back({fit.worker, 1, perDomain[domain]++});
    }
    std::stable_sort(interleaved.begin(), interleaved.end(),
                     [](const auto &left, const auto &right) { return left.rank < right.rank; });
    return interleaved;
}

worker_fits arrange(const task_step &step, const job_record &job, worker_fits candidates,
                    std::uint64_t requiredTasks)
{
    const auto rule = job.spec.spread;
    if (rule == spread_rule::Racks || rule == spread_rule::DataCentres)
        return spreadOverDomains(step, job, candidates);
    if (rule == spread_rule::SingleRack || job.demand.accelerators > 0)
        return packIntoRacks(step, job, std::move(candidates), requiredTasks);
    return candidates;
}

// Number of unfinished tasks if none of them is placed or delayed, otherwise 0.
std::uint64_t countStartableTasks(const job_record &job)
{
    const bool allStartable = job.placed() == 0 && job.count(task_phase::Delayed) == 0;
    return allStartable ? job.waiting.size() : 0;
}

void startTasksOn(task_step &step, job_record &job, const worker_fits &arranged)
{
    job.stoppingAll = false;
    const auto skippedTasks = mutated("tasks.start_part_of_job") ? 1U : 0U;
    for (const auto &fit : arranged) {
        for (auto taskCount = fit.taskCount; taskCount > 0 && job.waiting.size() > skippedTasks;
             --taskCount)
            startNextTask(step, job, fit.worker);
    }
    PLANTAINGAP_INVARIANT(job.waiting.empty(), "tasks.all_or_nothing");
}

std::uint32_t claimedOn(const job_record &job, const worker_record &worker)
{
    std::uint32_t count = 0;
    for (const auto &entry : worker.claims)
        count += entry.job == &job ? entry.count : 0;
    return count;
}

bool claimsAreCovered(const worker_record &worker)
{
    return worker.claimed.fitsIn(worker.free());
}

// Whether the job's reservation may preempt the task, which must be a batch task that has run for
// minRunTime. The job's team must have a smaller share than the task's team, or be within its quota
// when its claims are counted as usage.
bool canPreemptForReservation(const task_step &step, const job_record &job, const task_ref &ref)
{
    const auto &task = ref.job->tasks[ref.index];
    if (ref.job->spec.kind != job_kind::Batch || !isPreemptible(*ref.job)
        || step.now - task.startedAt < step.limits.minRunTime)
        return false;
    const auto &teams = step.ledger.teams();
    return teams.share(ref.job->spec.team) > teams.share(job.spec.team)
           || teams.shareWith(job.spec.team, {}) <= fullQuota;
}

// Tasks to stop so that the claims on the worker are covered: backfill tasks first, then the tasks
// that lose the least work. Empty optional when stopping all permitted tasks is not enough.
std::optional<victims> chooseBlockingTasks(const task_step &step, const job_record &job,
                                           const worker_record &worker, bool includeBatch)
{
    std::vector<std::pair<double, task_ref>> candidates;
    auto available = worker.free();
    for (const auto &ref : worker.tasks) {
        const auto &task = ref.job->tasks[ref.index];
        if (task.phase == task_phase::Stopping)
            available += task.held;
        else if (task.backfill)
            candidates.emplace_back(0, ref);
        else if (canPreempt(step, job, ref)
                 || (includeBatch && canPreemptForReservation(step, job, ref)))
            candidates.emplace_back(lostWork(step, ref), ref);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    victims selected;
    for (const auto &[cost, ref] : candidates) {
        if (worker.claimed.fitsIn(available))
            break;
        available += ref.job->tasks[ref.index].held;
        selected.tasks.push_back(ref);
    }
    if (!worker.claimed.fitsIn(available))
        return std::nullopt;
    return selected;
}

void startClaimed(task_step &step, job_record &job)
{
    worker_fits arranged;
    for (const auto worker : job.claimedWorkers)
        arranged.push_back({worker, claimedOn(job, step.ledger.worker(worker)), 0});
    step.ledger.releaseAllClaims(job);
    startTasksOn(step, job, arranged);
}

void cancelReservation(task_step &step, job_record &job)
{
    const auto workers = job.claimedWorkers;
    step.ledger.releaseAllClaims(job);
    job.nextAttempt = step.now + step.limits.reservationPreemptionDelay;
    for (const auto worker : workers)
        fillWorker(step, worker);
}

// Stops the tasks that block the claimed capacity. Stops none and returns false if the claims on
// any worker could not be covered.
bool stopBlockingTasks(task_step &step, const job_record &job, bool includeBatch)
{
    victims blocking;
    for (const auto index : job.claimedWorkers) {
        const auto &worker = step.ledger.worker(index);
        if (claimsAreCovered(worker))
            continue;
        const auto selected = chooseBlockingTasks(step, job, worker, includeBatch);
        if (!selected)
            return false;
        blocking.tasks.insert(blocking.tasks.end(), selected->tasks.begin(), selected->tasks.end());
    }
    stopVictims(step, job, blocking);
    return true;
}

} // namespace

bool startAllTasks(task_step &step, job_record &job)
{
    const auto requiredTasks = countStartableTasks(job);
    if (requiredTasks == 0 || !isStartable(step, job))
        return false;
    auto candidates = findUnclaimedFits(step, job);
    if (totalTasks(candidates) < requiredTasks)
        return false;
    const auto arranged = arrange(step, job, std::move(candidates), requiredTasks);
    if (totalTasks(arranged) < requiredTasks)
        return false;
    startTasksOn(step, job, arranged);
    return true;
}

bool reserve(task_step &step, job_record &job)
{
    const auto requiredTasks = countStartableTasks(job);
    if (requiredTasks == 0 || !isStartable(step, job))
        return false;
    auto candidates = findPreemptibleFits(step, job);
    if (totalTasks(candidates) < requiredTasks)
        return false;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &left, const auto &right) { return left.rank < right.rank; });
    const auto arranged = arrange(step, job, std::move(candidates), requiredTasks);
    if (totalTasks(arranged) < requiredTasks)
        return false;
    auto remaining = static_cast<std::uint32_t>(requiredTasks);
    for (const auto &fit : arranged) {
        const auto claimedHere = std::min(remaining, fit.taskCount);
        if (claimedHere > 0)
            step.ledger.addClaim(job, fit.worker, claimedHere);
        remaining -= claimedHere;
    }
    job.reserving = true;
    job.reservedAt = step.now;
    job.nextReview = step.now;
    return true;
}

void reviewReservation(task_step &step, job_record &job)
{
    const auto covered = [&](std::uint32_t workerIndex) {
        return claimsAreCovered(step.ledger.worker(workerIndex));
    };
    if (std::all_of(job.claimedWorkers.begin(), job.claimedWorkers.end(), covered))
        return startClaimed(step, job);
    if (step.now < job.nextReview)
        return;
    job.nextReview = step.now + reviewInterval;
    const bool withinDelay = step.now < job.reservedAt + step.limits.reservationPreemptionDelay;
    const bool includeBatch = !withinDelay || job.level == work_level::Urgent;
    if (stopBlockingTasks(step, job, includeBatch))
        job.backfillClosed = true;
    else if (step.now >= job.reservedAt + step.limits.reservationTimeout)
        cancelReservation(step, job);
}

} // namespace plantaingap::decision
