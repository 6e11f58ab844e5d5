#include "decision/task_dispatch.h"

#include "decision/task_placement.h"

namespace plantaingap::decision {

namespace {

// Jobs of one team that are examined before the next team's jobs.
constexpr std::uint32_t maxJobsPerTeam = 32;

// Starts tasks on the capacity that they have claimed. Claims of all-or-nothing jobs are kept;
// those jobs start as a whole.
void startClaimedTasks(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    for (std::size_t index = 0; index < record.claims.size();) {
        auto &job = *record.claims[index].job;
        if (job.spec.kind == job_kind::AllOrNothing) {
            ++index;
            continue;
        }
        if (job.waiting.empty() || !isStartable(step, job)) {
            step.ledger.releaseClaim(job, worker, ~0U);
            continue;
        }
        if (!job.demand.fitsIn(record.free()))
            return;
        step.ledger.releaseClaim(job, worker, 1);
        startNextTask(step, job, worker);
    }
}

// Checkpointable batch tasks may backfill capacity that a reservation is still collecting.
bool mayBackfill(const job_record &job, const worker_record &worker)
{
    if (job.spec.kind != job_kind::Batch || !isPreemptible(job) || !job.spec.checkpointable)
        return false;
    for (const auto &entry : worker.claims) {
        if (entry.job->spec.kind != job_kind::AllOrNothing || entry.job->backfillClosed)
            return false;
    }
    return job.demand.fitsIn(worker.free());
}

bool startNextTaskOn(task_step &step, job_record &job, std::uint32_t worker)
{
    const auto &record = step.ledger.worker(worker);
    if (!accepts(step.ledger, job, worker) || !isStartable(step, job)
        || strandsAccelerators(step.ledger, job, record))
        return false;
    const bool fits = job.demand.fitsIn(record.unclaimed());
    if (!fits && !mayBackfill(job, record))
        return false;
    const auto index = startNextTask(step, job, worker);
    job.tasks[index].backfill = !fits;
    return true;
}

// Starts one task of the first waiting job of the level that fits the worker; false if none does.
bool startOneFromLevel(task_step &step, work_level level, std::uint32_t worker,
                       std::uint32_t &jobsLeft)
{
    const auto &teams = step.ledger.teams();
    for (const auto &[share, team] : teams.order(level)) {
        std::uint32_t jobsOfTeam = 0;
        for (const auto &[sequence, job] : teams.queue(level, team)) {
            if (jobsLeft == 0)
                return false;
            --jobsLeft;
            const bool isGang = job->spec.kind == job_kind::AllOrNothing;
            if (!isGang && startNextTaskOn(step, *job, worker))
                return true;
            if (++jobsOfTeam == maxJobsPerTeam)
                break;
        }
    }
    return false;
}

} // namespace

bool isStartable(const task_step &step, const job_record &job)
{
    return !job.cancelled && step.ledger.pastBarrier(job);
}

void placeJob(task_step &step, job_record &job)
{
    if (!isStartable(step, job) || job.spec.kind == job_kind::AllOrNothing)
        return;
    const auto &rule = placementRules[step.limits.placementRule];
    while (job.waiting.size() > job.claimedTasks && step.budget > 0) {
        const auto worker = chooseWorker(step.ledger, job, rule);
        if (!worker)
            return;
        startNextTask(step, job, *worker);
    }
}

void fillWorker(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    if (!record.isSchedulable())
        return;
    startClaimedTasks(step, worker);
    auto jobsLeft = step.limits.maxJobsScanned;
    for (std::size_t level = 0; level < workLevels; ++level) {
        while (step.budget > 0 && jobsLeft > 0 && record.free().milliCores > 0
               && startOneFromLevel(step, static_cast<work_level>(level), worker, jobsLeft)) { }
    }
}

} // namespace plantaingap::decision
