#include "decision/preemption.h"

#include "decision/task_offers.h"
#include "decision/task_placement.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Workers with room to make that are compared for one preemption, and workers that are looked at;
// claims may have taken the room of some. Quota that is taken back may wait for a later look.
constexpr std::uint32_t mostCandidates = 16;
constexpr std::uint32_t mostLooked = 256;
constexpr std::uint32_t mostLookedForReturns = 48;

// A checkpoint costs about this much work even when nothing else is lost.
constexpr double checkpointCost = 1.0;

// A team takes quota back where that loses less than this part of the time that it has waited, or
// where the work has run on it for long enough.
constexpr double worthLosing = 0.1;

bool takesQuotaBack(const task_step &step, const job_record &job, const task_ref &victim)
{
    const auto &task = victim.job->tasks[victim.index];
    if (victim.job->spec.kind != job_kind::Batch || job.level != work_level::Normal)
        return false;
    if (step.now - task.startedAt < step.limits.minimumRun)
        return false;
    const std::chrono::duration<double> waited = step.now - job.servedAt;
    const bool cheap = lostWork(step, victim) <= waited.count() * worthLosing;
    if (!cheap && step.now - task.startedAt < step.limits.borrowedRun)
        return false;
    const auto &teams = step.ledger.teams();
    if (mutated("tasks.preempt_within_quota"))
        return job.spec.team != victim.job->spec.team;
    return teams.shareWith(job.spec.team, job.need) <= wholeQuota
           && teams.shareWith(victim.job->spec.team, resources {} - task.held) >= wholeQuota;
}

// What the worker could give the job now: claims of lower levels do not bind it.
resources roomFor(const job_record &job, const worker_record &worker)
{
    auto room = worker.free();
    for (const auto &set : worker.claims) {
        const bool collecting = set.job->spec.kind == job_kind::AllOrNothing;
        if (!collecting || set.job->level <= job.level)
            room -= set.job->need * set.count;
    }
    return room;
}

time_point checkpointBy(const task_step &step, const job_record &job)
{
    const bool urgent = job.level == work_level::Urgent;
    return step.now + (urgent ? step.limits.urgentGrace : step.limits.checkpointGrace);
}

// A task that already writes its checkpoint is not waited for longer than urgent work can wait.
void hurryEnding(task_step &step, std::uint32_t worker, time_point deadline)
{
    for (const auto &ref : step.ledger.worker(worker).tasks) {
        if (ref.job->tasks[ref.index].checkpointAsked) {
            const auto id = ref.job->taskId(ref.index);
            step.timers.emplace(deadline, timer {timer_kind::Checkpoint, id, {}});
        }
    }
}

} // namespace

bool mayPreempt(const task_step &step, const job_record &job, const task_ref &victim)
{
    const auto phase = victim.job->tasks[victim.index].phase;
    if (phase != task_phase::Starting && phase != task_phase::Running)
        return false;
    if (!mayYield(*victim.job) || victim.job == &job)
        return false;
    if (job.level < victim.job->level) {
        const bool together = victim.job->spec.kind == job_kind::AllOrNothing;
        return !together || job.level == work_level::Urgent;
    }
    return takesQuotaBack(step, job, victim);
}

double lostWork(const task_step &step, const task_ref &victim)
{
    const auto &task = victim.job->tasks[victim.index];
    if (victim.job->spec.checkpointable && task.phase == task_phase::Running)
        return checkpointCost;
    const std::chrono::duration<double> unsaved = step.now - task.savedAt;
    const bool together = victim.job->spec.kind == job_kind::AllOrNothing;
    return checkpointCost + unsaved.count() * (together ? victim.job->placed() : 1.0);
}

std::optional<victims> chooseVictims(const task_step &step, const job_record &job,
                                     std::uint32_t worker)
{
    const auto &record = step.ledger.worker(worker);
    auto room = roomFor(job, record);
    std::vector<std::pair<double, task_ref>> offered;
    for (const auto &ref : record.tasks) {
        if (ref.job->tasks[ref.index].phase == task_phase::Stopping)
            room += ref.job->tasks[ref.index].held;
        else if (mayPreempt(step, job, ref))
            offered.emplace_back(lostWork(step, ref), ref);
    }
    std::stable_sort(offered.begin(), offered.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    victims chosen;
    for (const auto &[cost, ref] : offered) {
        if (job.need.fitsIn(room))
            break;
        room += ref.job->tasks[ref.index].held;
        chosen.tasks.push_back(ref);
        chosen.lostWork += cost;
    }
    if (!job.need.fitsIn(room))
        return std::nullopt;
    return chosen;
}

void stopVictims(task_step &step, const job_record &job, const victims &chosen)
{
    for (const auto &ref : chosen.tasks) {
        if (ref.job->spec.kind == job_kind::AllOrNothing)
            stopAll(step, *ref.job, stop_reason::Preempted);
        else
            stopTask(step, *ref.job, ref.index, stop_reason::Preempted, checkpointBy(step, job));
    }
}

bool preemptFor(task_step &step, job_record &job)
{
    std::optional<victims> best;
    std::uint32_t bestWorker = 0;
    auto candidates = mostCandidates;
    auto looked = job.level <= work_level::Service ? mostLooked : mostLookedForReturns;
    step.ledger.yielding().visitFitting(job.need, [&](std::uint32_t worker) {
        if (accepts(step.ledger, job, worker)) {
            auto offer = chooseVictims(step, job, worker);
            candidates -= offer ? 1 : 0;
            if (offer && (!best || offer->lostWork < best->lostWork)) {
                best = std::move(offer);
                bestWorker = worker;
            }
        }
        return candidates > 0 && --looked > 0;
    });
    if (!best)
        return false;
    if (job.need.fitsIn(roomFor(job, step.ledger.worker(bestWorker)))) {
        startNext(step, job, bestWorker);
        return true;
    }
    step.ledger.addClaim(job, bestWorker, 1);
    stopVictims(step, job, *best);
    if (job.level == work_level::Urgent)
        hurryEnding(step, bestWorker, checkpointBy(step, job));
    return true;
}

} // namespace plantaingap::decision
