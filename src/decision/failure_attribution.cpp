#include "decision/failure_attribution.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// No further worker is quarantined while at least 1/maxQuarantinedDivisor of the workers are: so
// many failures are unlikely to be caused by the workers.
constexpr std::uint32_t maxQuarantinedDivisor = 4;

// The delay between probes is doubled at most this many times.
constexpr std::uint32_t maxProbeDelayDoublings = 5;

bool insertUnique(auto &list, auto item)
{
    if (std::find(list.begin(), list.end(), item) != list.end())
        return false;
    list.push_back(item);
    return true;
}

job_record *findProbeJob(task_step &step, const worker_record &worker)
{
    auto jobsLeft = step.limits.maxJobsScanned;
    const auto &teams = step.ledger.teams();
    for (const auto level : {work_level::Normal, work_level::Idle}) {
        for (const auto &[share, team] : teams.order(level)) {
            for (const auto &[sequence, job] : teams.queue(level, team)) {
                if (jobsLeft-- == 0)
                    return nullptr;
                if (job->spec.kind == job_kind::Batch && step.ledger.pastBarrier(*job)
                    && job->demand.fitsIn(worker.free()))
                    return job;
            }
        }
    }
    return nullptr;
}

} // namespace

void failure_attribution::recordSuccess(task_step &step, job_record &job, std::uint32_t worker)
{
    job.everSucceeded = true;
    auto &record = step.ledger.worker(worker);
    record.failedJobs.clear();
    if (record.quarantined)
        releaseWorker(step, worker);
}

failure_source failure_attribution::recordFailure(task_step &step, job_record &job,
                                                  std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    if (record.quarantined) {
        if (record.probing)
            quarantine(step, worker);
        return failure_source::Worker;
    }
    insertUnique(job.failedWorkers, worker);
    if (job.failedWorkers.size() >= step.limits.failureThreshold) {
        if (!job.everSucceeded) {
            clearWorkerFailures(step, job);
            return failure_source::Job;
        }
        job.failedWorkers.erase(job.failedWorkers.begin());
    }
    insertUnique(record.failedJobs, job.spec.job);
    const bool belowQuarantineLimit =
        m_quarantined * maxQuarantinedDivisor < step.ledger.workerCount();
    if (record.failedJobs.size() < step.limits.failureThreshold || !belowQuarantineLimit
        || mutated("tasks.never_quarantine"))
        return failure_source::Undecided;
    ++m_quarantined;
    quarantine(step, worker);
    return failure_source::Worker;
}

void failure_attribution::onWorkerRemoved(worker_record &record)
{
    m_quarantined -= record.quarantined ? 1 : 0;
    record.quarantined = false;
}

void failure_attribution::probe(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    if (!record.quarantined || record.probing || record.removed)
        return;
    const bool reachable = record.confirmed && !record.lost && !record.draining;
    auto *job = reachable ? findProbeJob(step, record) : nullptr;
    if (job == nullptr) {
        step.timers.emplace(step.now + step.limits.initialProbeDelay,
                            timer {timer_kind::Probe, {}, record.id});
        return;
    }
    record.probing = true;
    startNextTask(step, *job, worker);
}

void failure_attribution::quarantine(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    record.quarantined = true;
    record.probing = false;
    const auto doublings = std::min(record.quarantines++, maxProbeDelayDoublings);
    const auto probeAt = step.now + step.limits.initialProbeDelay * (1U << doublings);
    step.timers.emplace(probeAt, timer {timer_kind::Probe, {}, record.id});
    step.actions.emplace_back(quarantine_worker {record.id, probeAt});
    step.ledger.refresh(worker);
    step.ledger.releaseClaimsOn(worker);
}

void failure_attribution::releaseWorker(task_step &step, std::uint32_t worker)
{
    auto &record = step.ledger.worker(worker);
    record.quarantined = false;
    record.probing = false;
    record.quarantines = 0;
    --m_quarantined;
    step.actions.emplace_back(release_worker {record.id});
    step.ledger.refresh(worker);
}

void failure_attribution::clearWorkerFailures(task_step &step, const job_record &job)
{
    for (const auto worker : job.failedWorkers)
        std::erase(step.ledger.worker(worker).failedJobs, job.spec.job);
}

} // namespace plantaingap::decision
