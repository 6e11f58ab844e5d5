#include "decision/all_or_nothing.h"
#include "decision/preemption.h"
#include "decision/task_dispatch.h"
#include "decision/task_scheduler.h"

// Timer handlers of the scheduler: timers of single tasks and workers, and the periodic sweep that
// re-evaluates a bounded number of waiting jobs.
namespace plantaingap::decision {

namespace {

// Waiting jobs that one sweep tries to place.
constexpr std::size_t maxJobsPerSweep = 16;

// Tasks started by one sweep; if there are more, another sweep follows at once.
constexpr std::uint32_t maxStartsPerSweep = 16;

// All-or-nothing jobs tried in one sweep per level, and the delay before one that did not fit is
// retried.
constexpr std::uint32_t maxGangsPerSweep = 2;
constexpr auto gangRetryInterval = std::chrono::milliseconds(500);

// Urgent jobs, and services, that one sweep tries to place by preemption.
constexpr std::size_t maxPreemptingPerSweep = 16;

// Jobs that may reclaim quota in one sweep, tasks that each of these jobs may place by reclaiming,
// and the interval between sweeps that reclaim quota.
constexpr std::uint32_t maxReclaimingJobsPerSweep = 1;
constexpr std::uint32_t maxReclaimsPerJob = 4;
constexpr auto quotaReclaimInterval = std::chrono::milliseconds(100);

// First waiting jobs of a level in order of their teams' share that satisfy the predicate. They are
// copied because starting their tasks changes the order.
std::vector<job_record *> selectJobs(const task_ledger &ledger, work_level level,
                                     std::size_t maxJobs, auto predicate)
{
    std::vector<job_record *> selected;
    std::uint32_t scanned = 0;
    for (const auto &[share, team] : ledger.teams().order(level)) {
        for (const auto &[sequence, job] : ledger.teams().queue(level, team)) {
            if (selected.size() == maxJobs || ++scanned > 4 * maxJobs)
                return selected;
            if (predicate(*job))
                selected.push_back(job);
        }
    }
    return selected;
}

} // namespace

void task_scheduler::onSweep(task_step &step, const timer &)
{
    m_sweepScheduled = false;
    reviewReservations(step);
    for (const auto level : {work_level::Urgent, work_level::Service})
        sweepPreempting(step, level);
    sweepAllOrNothing(step);
    sweepQuotaReclaims(step);
    sweepWaiting(step);
}

void task_scheduler::placeAllOrNothing(task_step &step, job_record &job)
{
    if (job.reserving || startAllTasks(step, job))
        return;
    job.nextAttempt = std::max(job.nextAttempt, step.now + gangRetryInterval);
    const bool urgent = job.level == work_level::Urgent;
    const bool mayReserve = urgent || m_reservingJobs.size() < m_limits.maxReservations;
    if (!mayReserve || !reserve(step, job))
        return;
    m_reservingJobs.push_back(job.spec.job);
    reviewReservation(step, job);
    const auto workers = job.claimedWorkers;
    for (const auto worker : workers)
        fillWorker(step, worker);
}

void task_scheduler::reviewReservations(task_step &step)
{
    const auto reserving = m_reservingJobs;
    m_reservingJobs.clear();
    for (const auto id : reserving) {
        auto *job = m_ledger.findJob(id);
        if (job == nullptr || !job->reserving)
            continue;
        reviewReservation(step, *job);
        if (job->reserving)
            m_reservingJobs.push_back(id);
    }
}

void task_scheduler::sweepAllOrNothing(task_step &step)
{
    for (const auto level : {work_level::Urgent, work_level::Normal, work_level::Idle}) {
        const auto jobs = selectJobs(m_ledger, level, maxGangsPerSweep, [&](const job_record &job) {
            return job.spec.kind == job_kind::AllOrNothing && !job.reserving
                   && job.nextAttempt <= step.now;
        });
        for (auto *job : jobs)
            placeAllOrNothing(step, *job);
    }
}

void task_scheduler::sweepPreempting(task_step &step, work_level level)
{
    const auto jobs = selectJobs(m_ledger, level, maxPreemptingPerSweep, [](const job_record &job) {
        return job.spec.kind != job_kind::AllOrNothing && job.waiting.size() > job.claimedTasks;
    });
    for (auto *job : jobs)
        placeOrPreempt(step, *job);
}

// Teams within their quota reclaim borrowed capacity after waiting for quotaReclaimDelay.
void task_scheduler::sweepQuotaReclaims(task_step &step)
{
    if (step.now < m_nextQuotaReclaim)
        return;
    m_nextQuotaReclaim = step.now + quotaReclaimInterval;
    const auto jobs = selectJobs(
        m_ledger, work_level::Normal, maxReclaimingJobsPerSweep, [&](const job_record &job) {
            return job.spec.kind == job_kind::Batch && job.waiting.size() > job.claimedTasks
                   && step.now - job.lastStartAt >= m_limits.quotaReclaimDelay;
        });
    for (auto *job : jobs) {
        if (isStartable(step, *job))
            reclaimQuota(step, *job);
    }
}

// Reclaims for several tasks at a time, since quotaReclaimDelay restarts when a task is started.
void task_scheduler::reclaimQuota(task_step &step, job_record &job)
{
    const auto &teams = m_ledger.teams();
    for (std::uint32_t tasks = 0; tasks < maxReclaimsPerJob && step.budget > 0; ++tasks) {
        const bool withinQuota = teams.shareWith(job.spec.team, job.demand) <= fullQuota;
        if (!withinQuota || job.waiting.size() <= job.claimedTasks
            || !preemptForNextTask(step, job))
            return;
    }
}

void task_scheduler::sweepWaiting(task_step &step)
{
    const auto &teams = m_ledger.teams();
    std::vector<job_record *> selected;
    std::uint32_t emptyQueues = 0;
    while (selected.size() < maxJobsPerSweep && emptyQueues < workLevels * teams.teamCount()) {
        if (m_sweepTeam >= teams.teamCount()) {
            m_sweepTeam = 0;
            m_sweepLevel = (m_sweepLevel + 1) % workLevels;
        }
        const auto &queue = teams.queue(static_cast<work_level>(m_sweepLevel), m_sweepTeam);
        const auto next = queue.upper_bound(m_sweepJob);
        if (next == queue.end()) {
            ++m_sweepTeam;
            m_sweepJob = 0;
            ++emptyQueues;
            continue;
        }
        m_sweepJob = next->first;
        selected.push_back(next->second);
    }
    step.budget = std::min(step.budget, maxStartsPerSweep);
    for (auto *job : selected)
        placeJob(step, *job);
    if (step.budget > 0)
        return;
    m_sweepScheduled = true;
    m_timers.emplace(step.now, timer {timer_kind::Sweep, {}, {}});
}

void task_scheduler::onContinue(task_step &step, const timer &due)
{
    auto *job = m_ledger.findJob(due.task.job);
    if (job == nullptr)
        return;
    if (!job->stoppingAll)
        return placeOrPreempt(step, *job);
    continueStopAll(step, *job);
    finishIfDone(step, *job);
}

void task_scheduler::onCancel(task_step &step, const timer &)
{
    for (; !m_pendingCancels.empty() && step.budget > 0; m_pendingCancels.pop_front()) {
        --step.budget;
        cancel(step, m_pendingCancels.front());
    }
    if (!m_pendingCancels.empty())
        m_timers.emplace(step.now, timer {timer_kind::Cancel, {}, {}});
}

void task_scheduler::onCheckpoint(task_step &step, const timer &due)
{
    if (auto *job = m_ledger.findTask(due.task))
        stopAfterCheckpoint(step, *job, due.task.index);
}

void task_scheduler::onResendStop(task_step &step, const timer &due)
{
    auto *job = m_ledger.findTask(due.task);
    if (job != nullptr && job->tasks[due.task.index].phase == task_phase::Stopping)
        sendStop(step, *job, due.task.index);
}

void task_scheduler::onRetry(task_step &step, const timer &due)
{
    auto *job = m_ledger.findTask(due.task);
    if (job == nullptr || job->tasks[due.task.index].phase != task_phase::Delayed)
        return;
    m_ledger.requeue(*job, due.task.index);
    placeOrPreempt(step, *job);
}

void task_scheduler::onStartBy(task_step &step, const timer &due)
{
    auto *job = m_ledger.findJob(due.task.job);
    if (job == nullptr || job->placed() > 0 || job->count(task_phase::Finished) > 0)
        return;
    endJob(step, *job, job_outcome::TooLate);
}

void task_scheduler::onProbe(task_step &step, const timer &due)
{
    if (auto *record = m_ledger.findWorker(due.worker))
        m_failureAttribution.probe(step, m_ledger.indexOf(*record));
}

void task_scheduler::onDrain(task_step &step, const timer &due)
{
    if (auto *record = m_ledger.findWorker(due.worker))
        drain(step, m_ledger.indexOf(*record));
}

} // namespace plantaingap::decision
