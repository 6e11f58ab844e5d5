#include "decision/task_scheduler.h"

#include "decision/preemption.h"
#include "decision/task_offers.h"
#include "decision/task_rejection.h"
#include "decision/usage_reclaim.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Timers that one call of expire() handles.
constexpr int timersPerStep = 64;

// Cancellations that are carried out at once.
constexpr std::uint32_t cancelsPerStep = 16;

// Tasks of a job for which room is made in one step.
constexpr std::uint32_t preemptedAtOnce = 4;

// One copy in this many of a service is away at a time while it is moved off a leaving worker.
constexpr std::size_t movedPart = 10;
constexpr auto drainPause = std::chrono::milliseconds(500);

// The pause before a retry is doubled up to this many times.
constexpr std::uint32_t mostDoublings = 6;

// Retries for each start, and how many may be saved up.
constexpr double retryPart = 0.2;
constexpr double mostRetryTokens = 100;

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
        &task_scheduler::onSweep,      &task_scheduler::onContinue,  &task_scheduler::onCancel,
        &task_scheduler::onCheckpoint, &task_scheduler::onStopAgain, &task_scheduler::onRetry,
        &task_scheduler::onStartBy,    &task_scheduler::onProbe,     &task_scheduler::onDrain,
    };
    auto context = begin(now, actions);
    m_cancelsNow = 0;
    for (int handled = 0; handled < timersPerStep; ++handled) {
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
    return {m_ledger, m_timers, m_limits, now, actions, m_limits.stepBudget};
}

void task_scheduler::finish(task_step &step)
{
    const auto starts = m_ledger.starts() - m_startsSeen;
    m_startsSeen = m_ledger.starts();
    m_retryTokens = std::min(mostRetryTokens, m_retryTokens + retryPart * double(starts));
    if (m_sweepSet || !anyoneWaits())
        return;
    m_sweepSet = true;
    m_timers.emplace(step.now + m_limits.sweep, timer {timer_kind::Sweep, {}, {}});
}

bool task_scheduler::anyoneWaits() const
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
    const auto worker = m_ledger.numberOf(*record);
    m_ledger.confirm(worker);
    const auto known = record->tasks;
    for (const auto &ref : known) {
        const auto id = ref.job->taskId(ref.index);
        const bool runs = std::any_of(event.running.begin(), event.running.end(),
                                      [&](const auto &reported) { return reported.task == id; });
        compareWithReport(step, ref, runs);
    }
    for (const auto &reported : event.running)
        adoptReported(step, worker, reported);
    if (record->draining)
        drain(step, worker);
    offerWorker(step, worker);
}

// A start order may still be on its way to the worker until its window has closed.
void task_scheduler::compareWithReport(task_step &step, const task_ref &ref, bool runs)
{
    const auto &task = ref.job->tasks[ref.index];
    const bool mayArrive = step.now <= task.startedAt + m_limits.startWindow;
    if (!runs && mayArrive)
        return;
    if (!runs)
        return endTask(step, *ref.job, ref.index, task_outcome::Stopped);
    if (task.phase == task_phase::Uncertain)
        m_ledger.setPhase(*ref.job, ref.index, task_phase::Running);
    if (ref.job->cancelled)
        stopTask(step, *ref.job, ref.index, stop_reason::Cancelled, step.now);
}

void task_scheduler::adoptReported(task_step &step, std::uint32_t worker,
                                   const running_task &reported)
{
    auto &record = m_ledger.worker(worker);
    auto *job = m_ledger.findJob(reported.task.job);
    const auto index = reported.task.index;
    if (job != nullptr && index < job->tasks.size()) {
        const auto &task = job->tasks[index];
        if (isPlaced(task.phase) && task.worker == worker && task.attempt == reported.task.attempt)
            return;
        const bool formerOwners =
            job->spec.origin == job_origin::Recovered && task.attempt == job->spec.attemptFloor;
        const bool newer = reported.task.attempt >= task.attempt || formerOwners;
        if (task.phase == task_phase::Waiting && newer && reported.held.fitsIn(record.free())) {
            m_ledger.adopt(*job, index, reported.task.attempt, worker, reported.held, step.now);
            return settleAdopted(step, *job, index);
        }
    }
    step.actions.emplace_back(stop_task {reported.task, record.id, stop_reason::Unknown});
}

void task_scheduler::settleAdopted(task_step &step, job_record &job, std::uint32_t index)
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
    record->leaveBy = event.leaveBy;
    const auto worker = m_ledger.numberOf(*record);
    m_ledger.refresh(worker);
    m_ledger.dropClaimsOn(worker);
    drain(step, worker);
}

// Batch work goes at once. Copies of a service go a few at a time, so that the others carry the
// load until the first are replaced; shortly before the worker leaves all go.
void task_scheduler::drain(task_step &step, std::uint32_t worker)
{
    const auto &record = m_ledger.worker(worker);
    const bool late = step.now + m_limits.checkpointGrace >= record.leaveBy;
    bool left = false;
    for (const auto &ref : record.tasks) {
        const bool service = ref.job->spec.kind == job_kind::Service;
        const auto missing = ref.job->tasks.size() - ref.job->count(task_phase::Running);
        if (service && !late && missing > ref.job->tasks.size() / movedPart)
            left = true;
        else
            stopTask(step, *ref.job, ref.index, stop_reason::WorkerLeaves, record.leaveBy);
    }
    if (left)
        m_timers.emplace(step.now + drainPause, timer {timer_kind::Drain, {}, record.id});
}

void task_scheduler::on(const worker_lost &event, task_step &step)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr || record->lost)
        return;
    record->lost = true;
    const auto worker = m_ledger.numberOf(*record);
    for (const auto &ref : record->tasks)
        m_ledger.setPhase(*ref.job, ref.index, task_phase::Uncertain);
    m_ledger.refresh(worker);
    m_ledger.dropClaimsOn(worker);
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
    const auto worker = m_ledger.numberOf(*record);
    record->lost = true;
    m_ledger.refresh(worker);
    m_ledger.dropClaimsOn(worker);
    const auto tasks = record->tasks;
    for (const auto &ref : tasks)
        endTask(step, *ref.job, ref.index, task_outcome::Stopped);
    m_health.forget(*record);
    m_ledger.removeWorker(worker);
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
        takeUsage(step, report, event.asOf);
    offerWorker(step, m_ledger.numberOf(*record));
}

void task_scheduler::on(const job_submitted &event, task_step &step)
{
    if (m_ledger.findJob(event.job) != nullptr)
        return;
    auto reasons = whyNever(m_ledger, event);
    if (!reasons.empty()) {
        step.actions.emplace_back(reject_job {event.job, std::move(reasons)});
        return;
    }
    auto &job = m_ledger.addJob(event, step.now);
    if (event.startBy != time_point::max())
        m_timers.emplace(event.startBy, timer {timer_kind::StartBy, {event.job, 0, 0}, {}});
    offerFirst(step, job);
    settleJob(step, job);
}

// A job that was just accepted, or whose task must be replaced: free capacity first, then what it
// may take from others at once.
void task_scheduler::offerFirst(task_step &step, job_record &job)
{
    if (job.spec.kind == job_kind::AllOrNothing)
        return placeTogether(step, job);
    offerJob(step, job);
    bool more = step.budget == 0;
    if (job.level <= work_level::Service && mayStart(step, job))
        more = more || preemptSome(step, job);
    if (more && job.waiting.size() > job.claimedTasks)
        m_timers.emplace(step.now, timer {timer_kind::Continue, {job.spec.job, 0, 0}, {}});
}

// True when there may be more room to make; each search for it takes time.
bool task_scheduler::preemptSome(task_step &step, job_record &job)
{
    for (std::uint32_t tasks = 0; tasks < preemptedAtOnce; ++tasks) {
        if (job.waiting.size() <= job.claimedTasks || !preemptFor(step, job))
            return false;
    }
    return true;
}

// A wave of cancellations is only noted, so that it does not hold up what comes behind it.
void task_scheduler::on(const job_cancelled &event, task_step &step)
{
    if (m_cancelsNow < cancelsPerStep) {
        ++m_cancelsNow;
        return cancel(step, event.job);
    }
    if (m_cancels.empty())
        m_timers.emplace(step.now, timer {timer_kind::Cancel, {}, {}});
    m_cancels.push_back(event.job);
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
    job.endsAs = outcome;
    m_ledger.dropClaims(job);
    m_ledger.teams().dequeue(job);
    stopAll(step, job, stop_reason::Cancelled);
    settleJob(step, job);
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
        return;
    const auto worker = job->tasks[event.task.index].worker;
    endTask(step, *job, event.task.index, event.outcome);
    offerWorker(step, worker);
}

void task_scheduler::endTask(task_step &step, job_record &job, std::uint32_t index,
                             task_outcome outcome)
{
    const bool service = job.spec.kind == job_kind::Service;
    const auto worker = job.tasks[index].worker;
    if (outcome == task_outcome::Succeeded)
        m_health.noteSuccess(step, job, worker);
    if (outcome == task_outcome::Failed)
        return settleFailure(step, job, index);
    const bool done = outcome == task_outcome::Succeeded;
    if (done && service) {
        delayRetry(step, job, index);
    } else {
        m_ledger.release(job, index, done ? task_phase::Finished : task_phase::Waiting);
    }
    if (!done && job.spec.kind == job_kind::AllOrNothing && !job.cancelled)
        stopAll(step, job, stop_reason::Together);
    else if (!done && job.level <= work_level::Service)
        offerFirst(step, job);
    settleJob(step, job);
}

void task_scheduler::settleFailure(task_step &step, job_record &job, std::uint32_t index)
{
    const bool service = job.spec.kind == job_kind::Service;
    const auto found = m_health.noteFailure(step, job, job.tasks[index].worker);
    if (found != verdict::WorkerQuarantined)
        ++job.tasks[index].failures;
    const bool blamed =
        found == verdict::JobBlamed || job.tasks[index].failures >= m_limits.taskAttempts;
    if (blamed && !service) {
        m_ledger.release(job, index, task_phase::Failed);
        if (found == verdict::JobBlamed || job.spec.kind == job_kind::AllOrNothing)
            return endJob(step, job, job_outcome::Failed);
        return settleJob(step, job);
    }
    if (blamed)
        job.failedWorkers.clear();
    delayRetry(step, job, index);
    if (job.spec.kind == job_kind::AllOrNothing && !job.cancelled)
        stopAll(step, job, stop_reason::Together);
    settleJob(step, job);
}

// Without budget the task waits as long as one that has failed often.
void task_scheduler::delayRetry(task_step &step, job_record &job, std::uint32_t index)
{
    const bool affordable = m_retryTokens >= 1;
    m_retryTokens -= affordable ? 1 : 0;
    const auto failures = std::max(job.tasks[index].failures, 1U);
    const auto doublings = affordable ? std::min(failures - 1, mostDoublings) : mostDoublings;
    m_ledger.release(job, index, task_phase::Delayed);
    m_timers.emplace(step.now + m_limits.retryPause * (1U << doublings),
                     timer {timer_kind::Retry, job.taskId(index), {}});
}

void task_scheduler::settleJob(task_step &step, job_record &job)
{
    if (job.placed() > 0)
        return;
    const bool done = job.count(task_phase::Waiting) + job.count(task_phase::Delayed) == 0;
    if (!job.cancelled && !done)
        return;
    const bool failed = job.count(task_phase::Failed) > 0;
    auto outcome = failed ? job_outcome::Failed : job_outcome::Succeeded;
    if (job.cancelled && !done)
        outcome = job.endsAs;
    step.actions.emplace_back(finish_job {job.spec.job, outcome});
    m_ledger.removeJob(job);
}

void task_scheduler::on(const task_checkpointed &event, task_step &step)
{
    auto *job = m_ledger.findTask(event.task);
    if (job == nullptr || !isPlaced(job->tasks[event.task.index].phase))
        return;
    job->tasks[event.task.index].savedAt = step.now;
    stopAfterCheckpoint(step, *job, event.task.index);
}

void task_scheduler::on(const quota_changed &event, task_step &)
{
    m_ledger.teams().setQuota(event.team, event.quota);
}

} // namespace plantaingap::decision
