#include "decision/task_scheduler.h"

#include "decision/preemption.h"
#include "decision/task_dispatch.h"
#include "decision/task_rejection.h"
#include "decision/usage_reclaim.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Timers handled by one call of expire().
constexpr int maxTimersPerStep = 64;

// Cancellations executed immediately between two calls of expire(); further ones are deferred.
constexpr std::uint32_t maxImmediateCancels = 16;

// Waiting tasks of one job for which running tasks are preempted in one step.
constexpr std::uint32_t maxPreemptionsPerStep = 4;

// A draining worker stops no further copy of a service while more than 1/drainFraction of the
// service's copies are not running.
constexpr std::size_t drainFraction = 10;
constexpr auto drainInterval = std::chrono::milliseconds(500);

// The delay before a retry is doubled at most this many times.
constexpr std::uint32_t maxRetryDelayDoublings = 6;

// Retry tokens gained per started task, and the maximum number of saved tokens.
constexpr double retriesPerStart = 0.2;
constexpr double maxRetryTokens = 100;

} // namespace

task_scheduler::task_scheduler(const task_limits &limits)
    : m_limits(limits)
{ }

void task_scheduler::step(const task_event &event, time_point now,
                          std::vector<task_action> &actions)
{
    auto context = begin(now, actions);
    std::visit([&](const auto &typed) { on(typed, context); }, event);
    finish(context);
}

std::optional<time_point> task_scheduler::nextDeadline() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

void task_scheduler::expire(time_point now, std::vector<task_action> &actions)
{
    static constexpr handler handlers[] = {
        &task_scheduler::onSweep,      &task_scheduler::onContinue,   &task_scheduler::onCancel,
        &task_scheduler::onCheckpoint, &task_scheduler::onResendStop, &task_scheduler::onRetry,
        &task_scheduler::onStartBy,    &task_scheduler::onProbe,      &task_scheduler::onDrain,
    };
    auto context = begin(now, actions);
    m_immediateCancels = 0;
    for (int handled = 0; handled < maxTimersPerStep; ++handled) {
        if (m_timers.empty() || m_timers.begin()->first > now || context.budget == 0)
            break;
        const auto due = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        (this->*handlers[static_cast<std::size_t>(due.kind)])(context, due);
    }
    finish(context);
}

task_step task_scheduler::begin(time_point now, std::vector<task_action> &actions)
{
    return {m_ledger, m_timers, m_limits, now, actions, m_limits.maxOrdersPerStep};
}

void task_scheduler::finish(task_step &step)
{
    const auto starts = m_ledger.starts() - m_lastStarts;
    m_lastStarts = m_ledger.starts();
    m_retryTokens = std::min(maxRetryTokens, m_retryTokens + retriesPerStart * double(starts));
    if (m_sweepScheduled || !hasWaitingJobs())
        return;
    m_sweepScheduled = true;
    m_timers.emplace(step.now + m_limits.sweepInterval, timer {timer_kind::Sweep, {}, {}});
}

bool task_scheduler::hasWaitingJobs() const
{
    for (std::size_t level = 0; level < workLevels; ++level) {
        if (!m_ledger.teams().order(static_cast<work_level>(level)).empty())
            return true;
    }
    return false;
}

void task_scheduler::on(const worker_joined &event, task_step &)
{
    if (m_ledger.findWorker(event.worker) == nullptr)
        m_ledger.addWorker(event);
}

void task_scheduler::on(const worker_confirmed &event, task_step &step)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr)
        return;
    const auto worker = m_ledger.indexOf(*record);
    // First, because reconciling may already start tasks on this worker.
    m_ledger.setUnaccounted(worker, event.running);
    m_ledger.confirm(worker);
    const auto tasks = record->tasks;
    for (const auto &ref : tasks) {
        const auto id = ref.job->taskId(ref.index);
        const bool isRunning =
            std::any_of(event.running.begin(), event.running.end(),
                        [&](const auto &reported) { return reported.task == id; });
        reconcileWithReport(step, ref, isRunning);
    }
    for (const auto &reported : event.running)
        adoptReported(step, worker, reported);
    if (record->draining)
        drain(step, worker);
    fillWorker(step, worker);
}

// A task that is missing from the report may still start until its start window has expired.
void task_scheduler::reconcileWithReport(task_step &step, const task_ref &ref, bool isRunning)
{
    const auto &task = ref.job->tasks[ref.index];
    const bool mayStillStart = step.now <= task.startedAt + m_limits.startWindow;
    if (!isRunning && mayStillStart)
        return;
    if (!isRunning)
        return endTask(step, *ref.job, ref.index, task_outcome::Stopped);
    if (task.phase == task_phase::Uncertain)
        m_ledger.setPhase(*ref.job, ref.index, task_phase::Running);
    if (ref.job->cancelled)
        stopTask(step, *ref.job, ref.index, stop_reason::Cancelled, step.now);
}

void task_scheduler::adoptReported(task_step &step, std::uint32_t worker,
                                   const running_task &reported)
{
    if (m_ledger.isPlacedOn(reported.task, worker))
        return;
    const auto &record = m_ledger.worker(worker);
    auto *job = m_ledger.findJob(reported.task.job);
    const auto index = reported.task.index;
    if (job != nullptr && index < job->tasks.size()) {
        const auto &task = job->tasks[index];
        const bool startedByPreviousOwner =
            job->spec.origin == job_origin::Recovered && task.attempt == job->spec.attemptFloor;
        const bool isCurrent = reported.task.attempt >= task.attempt || startedByPreviousOwner;
        if (task.phase == task_phase::Waiting && isCurrent
            && reported.held.fitsIn(record.capacity - record.used)) {
            m_ledger.adopt(*job, index, reported.task.attempt, worker, reported.held, step.now);
            return stopIfCancelled(step, *job, index);
        }
    }
    step.actions.emplace_back(stop_task {reported.task, record.id, stop_reason::Unknown});
}

void task_scheduler::stopIfCancelled(task_step &step, job_record &job, std::uint32_t index)
{
    if (job.cancelled)
        stopTask(step, job, index, stop_reason::Cancelled, step.now);
}

void task_scheduler::on(const worker_draining &event, task_step &step)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr || record->draining)
        return;
    record->draining = true;
    record->drainDeadline = event.drainDeadline;
    const auto worker = m_ledger.indexOf(*record);
    m_ledger.refresh(worker);
    m_ledger.releaseClaimsOn(worker);
    drain(step, worker);
}

// Stops all tasks except copies of services at once. Copies of a service are stopped a few at a
// time, so that the others carry the load until replacements run; shortly before the deadline all
// are stopped.
void task_scheduler::drain(task_step &step, std::uint32_t worker)
{
    const auto &record = m_ledger.worker(worker);
    const bool nearDeadline = step.now + m_limits.checkpointGrace >= record.drainDeadline;
    bool tasksLeft = false;
    for (const auto &ref : record.tasks) {
        const bool service = ref.job->spec.kind == job_kind::Service;
        const auto missing = ref.job->tasks.size() - ref.job->count(task_phase::Running);
        if (service && !nearDeadline && missing > ref.job->tasks.size() / drainFraction)
            tasksLeft = true;
        else
            stopTask(step, *ref.job, ref.index, stop_reason::WorkerDraining, record.drainDeadline);
    }
    if (tasksLeft)
        m_timers.emplace(step.now + drainInterval, timer {timer_kind::Drain, {}, record.id});
}

void task_scheduler::on(const worker_lost &event, task_step &step)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr || record->lost)
        return;
    record->lost = true;
    record->lostAt = step.now;
    const auto worker = m_ledger.indexOf(*record);
    for (const auto &ref : record->tasks)
        m_ledger.setPhase(*ref.job, ref.index, task_phase::Uncertain);
    m_ledger.refresh(worker);
    m_ledger.releaseClaimsOn(worker);
    if (mutated("tasks.restart_uncertain")) {
        const auto tasks = record->tasks;
        for (const auto &ref : tasks)
            endTask(step, *ref.job, ref.index, task_outcome::Stopped);
    }
}

void task_scheduler::on(const worker_dead &event, task_step &step)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr)
        return;
    const auto worker = m_ledger.indexOf(*record);
    if (!record->lost)
        record->lostAt = step.now;
    record->lost = true;
    m_ledger.refresh(worker);
    m_ledger.releaseClaimsOn(worker);
    const auto tasks = record->tasks;
    for (const auto &ref : tasks)
        endWithWorker(step, *record, ref);
    m_failureAttribution.onWorkerRemoved(*record);
    m_ledger.removeWorker(worker);
}

// A task that is started again and again may crash each worker that starts it.
void task_scheduler::endWithWorker(task_step &step, const worker_record &worker,
                                   const task_ref &ref)
{
    auto &task = ref.job->tasks[ref.index];
    const bool startedBefore =
        !worker.draining && worker.lostAt <= task.startedAt + m_limits.crashWindow;
    const bool givenUp = startedBefore && ++task.crashes >= m_limits.maxTaskCrashes;
    if (givenUp && !ref.job->cancelled)
        return handleFinalFailure(step, *ref.job, ref.index, failure_source::Job);
    endTask(step, *ref.job, ref.index, task_outcome::Stopped);
}

void task_scheduler::on(const task_confirmed_stopped &event, task_step &step)
{
    on(task_ended {event.task, task_outcome::Stopped}, step);
}

void task_scheduler::on(const usage_reported &event, task_step &step)
{
    const auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr || record->lost)
        return;
    for (const auto &report : event.tasks)
        applyUsageReport(step, report, event.asOf);
    fillWorker(step, m_ledger.indexOf(*record));
}

void task_scheduler::on(const job_submitted &event, task_step &step)
{
    if (m_ledger.findJob(event.job) != nullptr)
        return;
    auto reasons = findInfeasibility(m_ledger, event);
    if (!reasons.empty()) {
        step.actions.emplace_back(reject_job {event.job, std::move(reasons)});
        return;
    }
    auto &job = m_ledger.addJob(event, step.now);
    if (event.startBy != time_point::max())
        m_timers.emplace(event.startBy, timer {timer_kind::StartBy, {event.job, 0, 0}, {}});
    placeOrPreempt(step, job);
    finishIfDone(step, job);
}

// Places tasks of a new job, or of one that lost a task: on free capacity first, then, for urgent
// jobs and services, by preemption.
void task_scheduler::placeOrPreempt(task_step &step, job_record &job)
{
    if (job.spec.kind == job_kind::AllOrNothing)
        return placeAllOrNothing(step, job);
    placeJob(step, job);
    bool continueLater = step.budget == 0;
    if (job.level <= work_level::Service && isStartable(step, job))
        continueLater = continueLater || preemptForTasks(step, job);
    if (continueLater && job.waiting.size() > job.claimedTasks)
        m_timers.emplace(step.now, timer {timer_kind::Continue, {job.spec.job, 0, 0}, {}});
}

// Preempts running tasks for a bounded number of the job's waiting tasks, since each search takes
// time. True if the bound was reached.
bool task_scheduler::preemptForTasks(task_step &step, job_record &job)
{
    for (std::uint32_t tasks = 0; tasks < maxPreemptionsPerStep; ++tasks) {
        if (job.waiting.size() <= job.claimedTasks || !preemptForNextTask(step, job))
            return false;
    }
    return true;
}

// Many cancellations at once are deferred, so that they do not delay subsequent events.
void task_scheduler::on(const job_cancelled &event, task_step &step)
{
    if (m_immediateCancels < maxImmediateCancels) {
        ++m_immediateCancels;
        return cancel(step, event.job);
    }
    if (m_pendingCancels.empty())
        m_timers.emplace(step.now, timer {timer_kind::Cancel, {}, {}});
    m_pendingCancels.push_back(event.job);
}

void task_scheduler::cancel(task_step &step, job_id id)
{
    auto *job = m_ledger.findJob(id);
    if (job != nullptr && !job->cancelled)
        endJob(step, *job, job_outcome::Cancelled);
}

void task_scheduler::endJob(task_step &step, job_record &job, job_outcome outcome)
{
    job.cancelled = true;
    job.cancelOutcome = outcome;
    m_ledger.releaseAllClaims(job);
    m_ledger.teams().dequeue(job);
    stopAll(step, job, stop_reason::Cancelled);
    finishIfDone(step, job);
}

void task_scheduler::on(const task_started &event, task_step &)
{
    auto *job = m_ledger.findTask(event.task);
    if (job != nullptr && job->tasks[event.task.index].phase == task_phase::Starting)
        m_ledger.setPhase(*job, event.task.index, task_phase::Running);
}

void task_scheduler::on(const task_ended &event, task_step &step)
{
    auto *job = m_ledger.findTask(event.task);
    if (job == nullptr || !isPlaced(job->tasks[event.task.index].phase))
        return endUnaccounted(step, event.task);
    const auto worker = job->tasks[event.task.index].worker;
    endTask(step, *job, event.task.index, event.outcome);
    fillWorker(step, worker);
}

void task_scheduler::endUnaccounted(task_step &step, const task_id &task)
{
    if (const auto worker = m_ledger.releaseUnaccounted(task))
        fillWorker(step, *worker);
}

void task_scheduler::endTask(task_step &step, job_record &job, std::uint32_t index,
                             task_outcome outcome)
{
    const bool service = job.spec.kind == job_kind::Service;
    const auto worker = job.tasks[index].worker;
    if (outcome == task_outcome::Succeeded)
        m_failureAttribution.recordSuccess(step, job, worker);
    if (outcome == task_outcome::Failed)
        return handleFailure(step, job, index);
    const bool done = outcome == task_outcome::Succeeded;
    if (done && service) {
        scheduleRetry(step, job, index);
    } else {
        m_ledger.release(job, index, done ? task_phase::Finished : task_phase::Waiting);
    }
    if (!done && job.spec.kind == job_kind::AllOrNothing && !job.cancelled)
        stopAll(step, job, stop_reason::GangMemberEnded);
    else if (!done && job.level <= work_level::Service)
        placeOrPreempt(step, job);
    finishIfDone(step, job);
}

void task_scheduler::handleFailure(task_step &step, job_record &job, std::uint32_t index)
{
    const auto source = m_failureAttribution.recordFailure(step, job, job.tasks[index].worker);
    if (source != failure_source::Worker)
        ++job.tasks[index].failures;
    const bool isFinal =
        source == failure_source::Job || job.tasks[index].failures >= m_limits.maxTaskFailures;
    if (isFinal)
        return handleFinalFailure(step, job, index, source);
    scheduleRetry(step, job, index);
    if (job.spec.kind == job_kind::AllOrNothing && !job.cancelled)
        stopAll(step, job, stop_reason::GangMemberEnded);
    finishIfDone(step, job);
}

// Copies of services are always started again, after the longest delay.
void task_scheduler::handleFinalFailure(task_step &step, job_record &job, std::uint32_t index,
                                        failure_source source)
{
    if (job.spec.kind != job_kind::Service) {
        m_ledger.release(job, index, task_phase::Failed);
        if (source == failure_source::Job || job.spec.kind == job_kind::AllOrNothing)
            return endJob(step, job, job_outcome::Failed);
        return finishIfDone(step, job);
    }
    job.failedWorkers.clear();
    scheduleRetry(step, job, index);
    finishIfDone(step, job);
}

// Without retry tokens the task waits for the maximum delay.
void task_scheduler::scheduleRetry(task_step &step, job_record &job, std::uint32_t index)
{
    const bool affordable = m_retryTokens >= 1;
    m_retryTokens -= affordable ? 1 : 0;
    const auto &task = job.tasks[index];
    const auto failures = std::max({task.failures, task.crashes, 1U});
    const auto doublings =
        affordable ? std::min(failures - 1, maxRetryDelayDoublings) : maxRetryDelayDoublings;
    m_ledger.release(job, index, task_phase::Delayed);
    m_timers.emplace(step.now + m_limits.initialRetryDelay * (1U << doublings),
                     timer {timer_kind::Retry, job.taskId(index), {}});
}

void task_scheduler::finishIfDone(task_step &step, job_record &job)
{
    if (job.placed() > 0)
        return;
    const bool done = job.count(task_phase::Waiting) + job.count(task_phase::Delayed) == 0;
    if (!job.cancelled && !done)
        return;
    const bool failed = job.count(task_phase::Failed) > 0;
    auto outcome = failed ? job_outcome::Failed : job_outcome::Succeeded;
    if (job.cancelled && !done)
        outcome = job.cancelOutcome;
    step.actions.emplace_back(finish_job {job.spec.job, outcome});
    m_ledger.removeJob(job);
}

void task_scheduler::on(const task_checkpointed &event, task_step &step)
{
    auto *job = m_ledger.findTask(event.task);
    if (job == nullptr || !isPlaced(job->tasks[event.task.index].phase))
        return;
    job->tasks[event.task.index].lastCheckpointAt = step.now;
    stopAfterCheckpoint(step, *job, event.task.index);
}

void task_scheduler::on(const quota_changed &event, task_step &)
{
    m_ledger.teams().setQuota(event.team, event.quota);
}

} // namespace plantaingap::decision
