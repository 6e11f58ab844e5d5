#include "decision/preemption.h"

#include "decision/task_dispatch.h"
#include "decision/task_placement.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Bounds of one search for a worker: suitable workers that are compared, and workers that are
// examined, some of which are unsuitable because of existing claims. Reclaiming quota examines
// fewer workers, since it can be retried in a later sweep.
constexpr std::uint32_t maxCandidates = 16;
constexpr std::uint32_t maxScannedWorkers = 256;
constexpr std::uint32_t maxScannedForQuotaReclaim = 48;

// Cost of stopping a task that can write a checkpoint, in seconds of its work.
constexpr double checkpointCost = 1.0;

// A job may reclaim its team's quota from a task if stopping the task loses at most this fraction
// of the time since the job last started a task or was accepted, or if the task has run for
// minBorrowedRunTime.
constexpr double maxLossPerWait = 0.1;

bool canReclaimQuota(const task_step &step, const job_record &job, const task_ref &victim)
{
    const auto &task = victim.job->tasks[victim.index];
    if (victim.job->spec.kind != job_kind::Batch || job.level != work_level::Normal)
        return false;
    if (step.now - task.startedAt < step.limits.minRunTime)
        return false;
    const std::chrono::duration<double> waited = step.now - job.lastStartAt;
    const bool cheap = lostWork(step, victim) <= waited.count() * maxLossPerWait;
    if (!cheap && step.now - task.startedAt < step.limits.minBorrowedRunTime)
        return false;
    const auto &teams = step.ledger.teams();
    if (mutated("tasks.preempt_within_quota"))
        return job.spec.team != victim.job->spec.team;
    return teams.shareWith(job.spec.team, job.demand) <= fullQuota
           && teams.shareWith(victim.job->spec.team, resources {} - task.held) >= fullQuota;
}

// Capacity of the worker that the job may use now. Ignores reservations of jobs at lower levels.
resources availableFor(const job_record &job, const worker_record &worker)
{
    auto available = worker.free();
    for (const auto &entry : worker.claims) {
        const bool reserving = entry.job->spec.kind == job_kind::AllOrNothing;
        if (!reserving || entry.job->level <= job.level)
            available -= entry.job->demand * entry.count;
    }
    return available;
}

time_point checkpointBy(const task_step &step, const job_record &job)
{
    const bool urgent = job.level == work_level::Urgent;
    return step.now + (urgent ? step.limits.urgentGrace : step.limits.checkpointGrace);
}

// Gives the tasks that are already writing a checkpoint at most until the deadline to finish it.
void shortenCheckpoints(task_step &step, std::uint32_t worker, time_point deadline)
{
    for (const auto &ref : step.ledger.worker(worker).tasks) {
        if (ref.job->tasks[ref.index].checkpointRequested) {
            const auto id = ref.job->taskId(ref.index);
            step.timers.emplace(deadline, timer {timer_kind::Checkpoint, id, {}});
        }
    }
}

} // namespace

bool canPreempt(const task_step &step, const job_record &job, const task_ref &victim)
{
    const auto phase = victim.job->tasks[victim.index].phase;
    if (phase != task_phase::Starting && phase != task_phase::Running)
        return false;
    if (!isPreemptible(*victim.job) || victim.job == &job)
        return false;
    if (job.level < victim.job->level) {
        const bool isGang = victim.job->spec.kind == job_kind::AllOrNothing;
        return !isGang || job.level == work_level::Urgent;
    }
    return canReclaimQuota(step, job, victim);
}

double lostWork(const task_step &step, const task_ref &victim)
{
    const auto &task = victim.job->tasks[victim.index];
    if (victim.job->spec.checkpointable && task.phase == task_phase::Running)
        return checkpointCost;
    const std::chrono::duration<double> unsaved = step.now - task.lastCheckpointAt;
    const bool isGang = victim.job->spec.kind == job_kind::AllOrNothing;
    return checkpointCost + unsaved.count() * (isGang ? victim.job->placed() : 1.0);
}

std::optional<victims> chooseVictims(const task_step &step, const job_record &job,
                                     std::uint32_t worker)
{
    const auto &record = step.ledger.worker(worker);
    auto available = availableFor(job, record);
    std::vector<std::pair<double, task_ref>> candidates;
    for (const auto &ref : record.tasks) {
        if (ref.job->tasks[ref.index].phase == task_phase::Stopping)
            available += ref.job->tasks[ref.index].held;
        else if (canPreempt(step, job, ref))
            candidates.emplace_back(lostWork(step, ref), ref);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    victims selected;
    for (const auto &[cost, ref] : candidates) {
        if (job.demand.fitsIn(available))
            break;
        available += ref.job->tasks[ref.index].held;
        selected.tasks.push_back(ref);
        selected.lostWork += cost;
    }
    if (!job.demand.fitsIn(available))
        return std::nullopt;
    return selected;
}

void stopVictims(task_step &step, const job_record &job, const victims &selected)
{
    for (const auto &ref : selected.tasks) {
        if (ref.job->spec.kind == job_kind::AllOrNothing)
            stopAll(step, *ref.job, stop_reason::Preempted);
        else
            stopTask(step, *ref.job, ref.index, stop_reason::Preempted, checkpointBy(step, job));
    }
}

bool preemptForNextTask(task_step &step, job_record &job)
{
    std::optional<victims> best;
    std::uint32_t bestWorker = 0;
    auto candidatesLeft = maxCandidates;
    auto scansLeft =
        job.level <= work_level::Service ? maxScannedWorkers : maxScannedForQuotaReclaim;
    step.ledger.freeOrPreemptible().visitFitting(job.demand, [&](std::uint32_t worker) {
        if (accepts(step.ledger, job, worker)) {
            auto option = chooseVictims(step, job, worker);
            candidatesLeft -= option ? 1 : 0;
            if (option && (!best || option->lostWork < best->lostWork)) {
                best = std::move(option);
                bestWorker = worker;
            }
        }
        return candidatesLeft > 0 && --scansLeft > 0;
    });
    if (!best)
        return false;
    if (job.demand.fitsIn(availableFor(job, step.ledger.worker(bestWorker)))) {
        startNextTask(step, job, bestWorker);
        return true;
    }
    step.ledger.addClaim(job, bestWorker, 1);
    stopVictims(step, job, *best);
    if (job.level == work_level::Urgent)
        shortenCheckpoints(step, bestWorker, checkpointBy(step, job));
    return true;
}

} // namespace plantaingap::decision
