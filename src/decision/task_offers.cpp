#include "decision/task_offers.h"

#include "decision/task_placement.h"

namespace plantaingap::decision {

namespace {

// Jobs of one team that are looked at before the next team's turn.
constexpr std::uint32_t jobsPerTeam = 32;

// Gives claimed room to tasks that were promised it. All-or-nothing jobs collect theirs instead.
void serveClaims(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    for (std::size_t at = 0; at < record.claims.size();) {
        auto &job = *record.claims[at].job;
        if (job.spec.kind == job_kind::AllOrNothing) {
            ++at;
            continue;
        }
        if (job.waiting.empty() || !mayStart(step, job)) {
            step.ledger.takeClaim(job, worker, ~0U);
            continue;
        }
        if (!job.need.fitsIn(record.free()))
            return;
        step.ledger.takeClaim(job, worker, 1);
        startNext(step, job, worker);
    }
}

// Batch work that can save its state may use room that a reservation still collects.
bool mayBackfill(const job_record &job, const worker_record &worker)
{
    if (job.spec.kind != job_kind::Batch || !mayYield(job) || !job.spec.checkpointable)
        return false;
    for (const auto &set : worker.claims) {
        if (set.job->spec.kind != job_kind::AllOrNothing || set.job->filling)
            return false;
    }
    return job.need.fitsIn(worker.free());
}

bool startOn(task_step &step, job_record &job, std::uint32_t worker)
{
    const auto &record = step.ledger.worker(worker);
    if (!accepts(step.ledger, job, worker) || !mayStart(step, job)
        || strandsAccelerators(step.ledger, job, record))
        return false;
    const bool fits = job.need.fitsIn(record.open());
    if (!fits && !mayBackfill(job, record))
        return false;
    const auto index = startNext(step, job, worker);
    job.tasks[index].backfill = !fits;
    return true;
}

// Looks for the first waiting job of the level that can use the worker; false when there is none.
bool startFromLevel(task_step &step, work_level level, std::uint32_t worker,
                    std::uint32_t &lookAhead)
{
    const auto &teams = step.ledger.teams();
    for (const auto &[share, team] : teams.order(level)) {
        std::uint32_t jobs = 0;
        for (const auto &[sequence, job] : teams.queue(level, team)) {
            if (lookAhead == 0)
                return false;
            --lookAhead;
            const bool together = job->spec.kind == job_kind::AllOrNothing;
            if (!together && startOn(step, *job, worker))
                return true;
            if (++jobs == jobsPerTeam)
                break;
        }
    }
    return false;
}

} // namespace

bool mayStart(const task_step &step, const job_record &job)
{
    return !job.cancelled && step.ledger.pastBarrier(job);
}

void offerJob(task_step &step, job_record &job)
{
    if (!mayStart(step, job) || job.spec.kind == job_kind::AllOrNothing)
        return;
    const auto &rule = placementRules[step.limits.placementRule];
    while (job.waiting.size() > job.claimedTasks && step.budget > 0) {
        const auto worker = chooseWorker(step.ledger, job, rule);
        if (!worker)
            return;
        startNext(step, job, *worker);
    }
}

void offerWorker(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    if (!record.takesWork())
        return;
    serveClaims(step, worker);
    auto lookAhead = step.limits.lookAhead;
    for (std::size_t level = 0; level < workLevels; ++level) {
        while (step.budget > 0 && lookAhead > 0 && record.free().milliCores > 0
               && startFromLevel(step, static_cast<work_level>(level), worker, lookAhead)) { }
    }
}

} // namespace plantaingap::decision
