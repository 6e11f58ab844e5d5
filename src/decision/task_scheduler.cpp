#include "decision/task_scheduler.h"

#include "decision/task_offers.h"
#include "decision/task_placement.h"
#include "decision/task_rejection.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Timers that one call of expire() handles.
constexpr int TimersPerStep = 64;

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
    static constexpr handler Handlers[] = {
        &task_scheduler::onSweep,     &task_scheduler::onContinue, &task_scheduler::onCheckpoint,
        &task_scheduler::onStopAgain, &task_scheduler::onRetry,    &task_scheduler::onStartBy,
        &task_scheduler::onProbe,     &task_scheduler::onDrain,
    };
    auto context = begin(now, actions);
    for (int handled = 0; handled < TimersPerStep; ++handled) {
        if (m_timers.empty() || m_timers.begin()->first > now || context.budget == 0)
            break;
        const auto due = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        (this->*Handlers[static_cast<std::size_t>(due.kind)])(context, due);
    }
    finish(context);
}

task_step task_scheduler::begin(time_point now, std::vector<task_action> &actions)
{
    return {m_ledger, m_timers, m_limits, now, actions, m_limits.stepBudget};
}

void task_scheduler::finish(task_step &step)
{
    if (m_sweepSet || !anyoneWaits())
        return;
    m_sweepSet = true;
    m_timers.emplace(step.now + m_limits.sweep, timer {timer_kind::Sweep, {}, {}});
}

bool task_scheduler::anyoneWaits() const
{
    for (std::size_t level = 0; level < WorkLevels; ++level) {
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
    const auto known = record->tasks;
    for (const auto &ref : known) {
        const auto id = ref.job->taskId(ref.index);
        const bool runs = std::any_of(event.running.begin(), event.running.end(),
                                      [&](const auto &reported) { return reported.task == id; });
        const auto phase = ref.job->tasks[ref.index].phase;
        if (runs && phase == task_phase::Uncertain)
            m_ledger.setPhase(*ref.job, ref.index, task_phase::Running);
        else if (!runs && phase != task_phase::Starting)
            endTask(step, *ref.job, ref.index, task_outcome::Stopped);
    }
    m_ledger.confirm(worker);
    for (const auto &reported : event.running)
        adoptReported(step, worker, reported);
    if (record->draining)
        drain(step, worker);
    offerWorker(step, worker);
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
        if (task.phase == task_phase::Waiting && reported.task.attempt >= task.attempt
            && reported.held.fitsIn(record.free())) {
            m_ledger.adopt(*job, index, reported.task.attempt, worker, reported.held, step.now);
            return;
        }
    }
    step.actions.emplace_back(stop_task {reported.task, record.id, stop_reason::Unknown});
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
    drain(step, worker);
}

void task_scheduler::drain(task_step &step, std::uint32_t worker)
{
    const auto &record = m_ledger.worker(worker);
    const auto tasks = record.tasks;
    for (const auto &ref : tasks)
        stopTask(step, *ref.job, ref.index, stop_reason::WorkerLeaves, record.leaveBy);
}

void task_scheduler::on(const worker_lost &event, task_step &)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr || record->lost)
        return;
    record->lost = true;
    for (const auto &ref : record->tasks)
        m_ledger.setPhase(*ref.job, ref.index, task_phase::Uncertain);
    m_ledger.refresh(m_ledger.numberOf(*record));
}

void task_scheduler::on(const worker_dead &event, task_step &step)
{
    auto *record = m_ledger.findWorker(event.worker);
    if (record == nullptr)
        return;
    const auto tasks = record->tasks;
    for (const auto &ref : tasks)
        endTask(step, *ref.job, ref.index, task_outcome::Stopped);
    m_ledger.removeWorker(m_ledger.numberOf(*record));
}

void task_scheduler::on(const task_confirmed_stopped &event, task_step &step)
{
    on(task_ended {event.task, task_outcome::Stopped}, step);
}

void task_scheduler::on(const usage_reported &, task_step &) { }

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
    offerJob(step, job);
    settleJob(step, job);
}

void task_scheduler::on(const job_cancelled &event, task_step &step)
{
    auto *job = m_ledger.findJob(event.job);
    if (job == nullptr || job->cancelled)
        return;
    job->cancelled = true;
    m_ledger.dropClaims(*job);
    m_ledger.teams().dequeue(*job);
    windDown(step, *job);
}

void task_scheduler::windDown(task_step &step, job_record &job)
{
    while (job.cursor < job.tasks.size() && step.budget > 0) {
        stopTask(step, job, job.cursor, stop_reason::Cancelled, step.now);
        ++job.cursor;
    }
    if (job.cursor < job.tasks.size()) {
        m_timers.emplace(step.now, timer {timer_kind::Continue, {job.spec.job, 0, 0}, {}});
        return;
    }
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
    if (outcome == task_outcome::Failed || (service && outcome == task_outcome::Succeeded)) {
        settleFailure(step, job, index);
    } else {
        const bool done = outcome == task_outcome::Succeeded;
        m_ledger.release(job, index, done ? task_phase::Finished : task_phase::Waiting);
    }
    settleJob(step, job);
}

void task_scheduler::settleFailure(task_step &step, job_record &job, std::uint32_t index)
{
    const auto failures = ++job.tasks[index].failures;
    const bool service = job.spec.kind == job_kind::Service;
    if (!service && failures >= m_limits.taskAttempts)
        return m_ledger.release(job, index, task_phase::Failed);
    m_ledger.release(job, index, task_phase::Delayed);
    const auto pause = m_limits.retryPause * (1U << std::min(failures - 1, 6U));
    m_timers.emplace(step.now + pause, timer {timer_kind::Retry, job.taskId(index), {}});
}

void task_scheduler::settleJob(task_step &step, job_record &job)
{
    if (job.placed() > 0)
        return;
    const bool done = job.count(task_phase::Waiting) + job.count(task_phase::Delayed) == 0;
    if (!job.cancelled && !done)
        return;
    auto outcome = job.count(task_phase::Failed) > 0 ? job_outcome::Failed : job_outcome::Succeeded;
    if (job.cancelled && !done)
        outcome = job_outcome::Cancelled;
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

void task_scheduler::onSweep(task_step &step, const timer &)
{
    m_sweepSet = false;
    for (std::size_t level = 0; level < WorkLevels; ++level) {
        const auto order = m_ledger.teams().order(static_cast<work_level>(level));
        for (const auto &[share, team] : order) {
            const auto queue = m_ledger.teams().queue(static_cast<work_level>(level), team);
            for (const auto &[sequence, job] : queue)
                offerJob(step, *job);
        }
    }
}

void task_scheduler::onContinue(task_step &step, const timer &due)
{
    auto *job = m_ledger.findJob(due.task.job);
    if (job != nullptr && job->cancelled)
        windDown(step, *job);
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
    offerJob(step, *job);
}

void task_scheduler::onStartBy(task_step &step, const timer &due)
{
    auto *job = m_ledger.findJob(due.task.job);
    if (job == nullptr || job->placed() > 0 || job->count(task_phase::Finished) > 0)
        return;
    step.actions.emplace_back(finish_job {due.task.job, job_outcome::TooLate});
    m_ledger.removeJob(*job);
}

void task_scheduler::onProbe(task_step &, const timer &) { }

void task_scheduler::onDrain(task_step &step, const timer &due)
{
    if (auto *record = m_ledger.findWorker(due.worker))
        drain(step, m_ledger.numberOf(*record));
}

wait_report task_scheduler::whyWaiting(job_id id, time_point) const
{
    const auto *job = m_ledger.findJob(id);
    if (job == nullptr)
        return {};
    const auto waiting = job->count(task_phase::Waiting) + job->count(task_phase::Delayed);
    if (waiting == 0)
        return {};
    return {wait_reason::NoCapacity, waiting};
}

} // namespace plantaingap::decision
