#include "decision/all_or_nothing.h"
#include "decision/preemption.h"
#include "decision/task_offers.h"
#include "decision/task_scheduler.h"

// What the scheduler does when time passes: timers of single tasks and workers, and the sweep that
// looks over the waiting jobs, a bounded part at a time.
namespace plantaingap::decision {

namespace {

// Waiting jobs that are offered the group in one sweep.
constexpr std::size_t jobsPerSweep = 16;

// Tasks that one sweep starts; another sweep follows at once when there are more.
constexpr std::uint32_t startsPerSweep = 16;

// All-or-nothing jobs that are tried in one sweep, and how long one that did not fit waits.
constexpr std::uint32_t togetherPerSweep = 2;
constexpr auto togetherPause = std::chrono::milliseconds(500);

// Urgent jobs and services for which room is made in one sweep.
constexpr std::size_t preemptingPerSweep = 16;

// Jobs for which others may be stopped in one sweep.
constexpr std::uint32_t returnsPerSweep = 1;
constexpr std::uint32_t returnsPerJob = 4;
constexpr auto returnPause = std::chrono::milliseconds(100);

// The first waiting jobs of a level by their teams' share, as ids, since starting them changes the
// order.
std::vector<job_record *> firstJobs(const task_ledger &ledger, work_level level, std::size_t most,
                                    auto wanted)
{
    std::vector<job_record *> found;
    std::uint32_t looked = 0;
    for (const auto &[share, team] : ledger.teams().order(level)) {
        for (const auto &[sequence, job] : ledger.teams().queue(level, team)) {
            if (found.size() == most || ++looked > 4 * most)
                return found;
            if (wanted(*job))
                found.push_back(job);
        }
    }
    return found;
}

} // namespace

void task_scheduler::onSweep(task_step &step, const timer &)
{
    m_sweepSet = false;
    reviewReservations(step);
    for (const auto level : {work_level::Urgent, work_level::Service})
        sweepPreemption(step, level);
    sweepTogether(step);
    sweepReturns(step);
    sweepWaiting(step);
}

void task_scheduler::placeTogether(task_step &step, job_record &job)
{
    if (job.reserving || startTogether(step, job))
        return;
    job.nextAttempt = std::max(job.nextAttempt, step.now + togetherPause);
    const bool urgent = job.level == work_level::Urgent;
    const bool mayReserve = urgent || m_reserving.size() < m_limits.reservations;
    if (!mayReserve || !reserve(step, job))
        return;
    m_reserving.push_back(job.spec.job);
    reviewReservation(step, job);
    const auto workers = job.claimedWorkers;
    for (const auto worker : workers)
        offerWorker(step, worker);
}

void task_scheduler::reviewReservations(task_step &step)
{
    const auto reserving = m_reserving;
    m_reserving.clear();
    for (const auto id : reserving) {
        auto *job = m_ledger.findJob(id);
        if (job == nullptr || !job->reserving)
            continue;
        reviewReservation(step, *job);
        if (job->reserving)
            m_reserving.push_back(id);
    }
}

void task_scheduler::sweepTogether(task_step &step)
{
    for (const auto level : {work_level::Urgent, work_level::Normal, work_level::Idle}) {
        const auto jobs = firstJobs(m_ledger, level, togetherPerSweep, [&](const job_record &job) {
            return job.spec.kind == job_kind::AllOrNothing && !job.reserving
                   && job.nextAttempt <= step.now;
        });
        for (auto *job : jobs)
            placeTogether(step, *job);
    }
}

void task_scheduler::sweepPreemption(task_step &step, work_level level)
{
    const auto jobs = firstJobs(m_ledger, level, preemptingPerSweep, [](const job_record &job) {
        return job.spec.kind != job_kind::AllOrNothing && job.waiting.size() > job.claimedTasks;
    });
    for (auto *job : jobs)
        offerFirst(step, *job);
}

// Teams within their quota take back what others borrowed, after some patience.
void task_scheduler::sweepReturns(task_step &step)
{
    if (step.now < m_nextReturn)
        return;
    m_nextReturn = step.now + returnPause;
    const auto jobs =
        firstJobs(m_ledger, work_level::Normal, returnsPerSweep, [&](const job_record &job) {
            return job.spec.kind == job_kind::Batch && job.waiting.size() > job.claimedTasks
                   && step.now - job.servedAt >= m_limits.returnPatience;
        });
    for (auto *job : jobs) {
        if (mayStart(step, *job))
            takeBack(step, *job);
    }
}

// Several tasks at a time, since the patience begins anew when the job is served.
void task_scheduler::takeBack(task_step &step, job_record &job)
{
    const auto &teams = m_ledger.teams();
    for (std::uint32_t tasks = 0; tasks < returnsPerJob && step.budget > 0; ++tasks) {
        const bool within = teams.shareWith(job.spec.team, job.need) <= wholeQuota;
        if (!within || job.waiting.size() <= job.claimedTasks || !preemptFor(step, job))
            return;
    }
}

void task_scheduler::sweepWaiting(task_step &step)
{
    const auto &teams = m_ledger.teams();
    std::vector<job_record *> found;
    std::uint32_t empty = 0;
    while (found.size() < jobsPerSweep && empty < workLevels * teams.teamCount()) {
        if (m_sweepTeam >= teams.teamCount()) {
            m_sweepTeam = 0;
            m_sweepLevel = (m_sweepLevel + 1) % workLevels;
        }
        const auto &queue = teams.queue(static_cast<work_level>(m_sweepLevel), m_sweepTeam);
        const auto next = queue.upper_bound(m_sweepJob);
        if (next == queue.end()) {
            ++m_sweepTeam;
            m_sweepJob = 0;
            ++empty;
            continue;
        }
        m_sweepJob = next->first;
        found.push_back(next->second);
    }
    step.budget = std::min(step.budget, startsPerSweep);
    for (auto *job : found)
        offerJob(step, *job);
    if (step.budget > 0)
        return;
    m_sweepSet = true;
    m_timers.emplace(step.now, timer {timer_kind::Sweep, {}, {}});
}

void task_scheduler::onContinue(task_step &step, const timer &due)
{
    auto *job = m_ledger.findJob(due.task.job);
    if (job == nullptr)
        return;
    if (!job->stoppingAll)
        return offerFirst(step, *job);
    continueStopAll(step, *job);
    settleJob(step, *job);
}

void task_scheduler::onCancel(task_step &step, const timer &)
{
    for (; !m_cancels.empty() && step.budget > 0; m_cancels.pop_front()) {
        --step.budget;
        cancel(step, m_cancels.front());
    }
    if (!m_cancels.empty())
        m_timers.emplace(step.now, timer {timer_kind::Cancel, {}, {}});
}

void task_scheduler::onCheckpoint(task_step &step, const timer &due)
{
    if (auto *job = m_ledger.findTask(due.task))
        stopAfterCheckpoint(step, *job, due.task.index);
}

void task_scheduler::onStopAgain(task_step &step, const timer &due)
{
    auto *job = m_ledger.findTask(due.task);
    if (job != nullptr && job->tasks[due.task.index].phase == task_phase::Stopping)
        orderStop(step, *job, due.task.index);
}

void task_scheduler::onRetry(task_step &step, const timer &due)
{
    auto *job = m_ledger.findTask(due.task);
    if (job == nullptr || job->tasks[due.task.index].phase != task_phase::Delayed)
        return;
    m_ledger.requeue(*job, due.task.index);
    offerFirst(step, *job);
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
        m_health.probe(step, m_ledger.numberOf(*record));
}

void task_scheduler::onDrain(task_step &step, const timer &due)
{
    if (auto *record = m_ledger.findWorker(due.worker))
        drain(step, m_ledger.numberOf(*record));
}

} // namespace plantaingap::decision
