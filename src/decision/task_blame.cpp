#include "decision/task_blame.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// More workers than one in this many are never quarantined at a time: then it is not the workers.
constexpr std::uint32_t quarantinePart = 4;

// The pause between probes is doubled up to this many times.
constexpr std::uint32_t pauseDoublings = 5;

bool addOnce(auto &list, auto item)
{
    if (std::find(list.begin(), list.end(), item) != list.end())
        return false;
    list.push_back(item);
    return true;
}

job_record *waitingProbe(task_step &step, const worker_record &worker)
{
    auto lookAhead = step.limits.lookAhead;
    const auto &teams = step.ledger.teams();
    for (const auto level : {work_level::Normal, work_level::Idle}) {
        for (const auto &[share, team] : teams.order(level)) {
            for (const auto &[sequence, job] : teams.queue(level, team)) {
                if (lookAhead-- == 0)
                    return nullptr;
                if (job->spec.kind == job_kind::Batch && step.ledger.pastBarrier(*job)
                    && job->need.fitsIn(worker.free()))
                    return job;
            }
        }
    }
    return nullptr;
}

} // namespace

void task_blame::noteSuccess(task_step &step, job_record &job, std::uint32_t worker)
{
    job.everSucceeded = true;
    auto &record = step.ledger.worker(worker);
    record.failedJobs.clear();
    if (record.quarantined)
        giveBack(step, worker);
}

verdict task_blame::noteFailure(task_step &step, job_record &job, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    if (record.quarantined) {
        if (record.probing)
            quarantine(step, worker);
        return verdict::WorkerQuarantined;
    }
    addOnce(job.failedWorkers, worker);
    if (job.failedWorkers.size() >= step.limits.blameAfter) {
        if (!job.everSucceeded) {
            acquit(step, job);
            return verdict::JobBlamed;
        }
        job.failedWorkers.erase(job.failedWorkers.begin());
    }
    addOnce(record.failedJobs, job.spec.job);
    const bool others = m_quarantined * quarantinePart < step.ledger.workerCount();
    if (record.failedJobs.size() < step.limits.blameAfter || !others
        || mutated("tasks.never_quarantine"))
        return verdict::Undecided;
    ++m_quarantined;
    quarantine(step, worker);
    return verdict::WorkerQuarantined;
}

void task_blame::forget(worker_record &record)
{
    m_quarantined -= record.quarantined ? 1 : 0;
    record.quarantined = false;
}

void task_blame::probe(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    if (!record.quarantined || record.probing || record.gone)
        return;
    const bool reachable = record.confirmed && !record.lost && !record.draining;
    auto *job = reachable ? waitingProbe(step, record) : nullptr;
    if (job == nullptr) {
        step.timers.emplace(step.now + step.limits.probePause,
                            timer {timer_kind::Probe, {}, record.id});
        return;
    }
    record.probing = true;
    startNext(step, *job, worker);
}

void task_blame::quarantine(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    record.quarantined = true;
    record.probing = false;
    const auto doublings = std::min(record.quarantines++, pauseDoublings);
    const auto probeAt = step.now + step.limits.probePause * (1U << doublings);
    step.timers.emplace(probeAt, timer {timer_kind::Probe, {}, record.id});
    step.actions.emplace_back(quarantine_worker {record.id, probeAt});
    step.ledger.refresh(worker);
    step.ledger.dropClaimsOn(worker);
}

void task_blame::giveBack(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    record.quarantined = false;
    record.probing = false;
    record.quarantines = 0;
    --m_quarantined;
    step.actions.emplace_back(return_worker {record.id});
    step.ledger.refresh(worker);
}

void task_blame::acquit(task_step &step, const job_record &job)
{
    for (const auto worker : job.failedWorkers)
        std::erase(step.ledger.worker(worker).failedJobs, job.spec.job);
}

} // namespace plantaingap::decision
