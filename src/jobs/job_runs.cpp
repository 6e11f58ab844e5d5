#include "jobs/job_scheduler.h"
#include "jobs/task_capacity.h"

#include <algorithm>

// What becomes of tasks: room taken and given back, ends, reports, leases and answers to orders.
namespace plantaingap::jobs {

void job_scheduler::occupy(task_run &task, worker &at)
{
    task.at = &at;
    --task.step->waiting;
    ++task.step->occurrence->job->occupying;
    at.used += effectiveDemand(*task.step->definition);
    at.runs.push_back(&task);
}

void job_scheduler::release(task_run &task)
{
    auto &at = *task.at;
    at.used -= effectiveDemand(*task.step->definition);
    std::erase(at.runs, &task);
    task.at = nullptr;
    task.settled.reset();
    task.timed = false;
    task.percent = 0;
    task.firstReportAt = {};
    task.speedTold = false;
    task.phase = task_phase::Waiting;
    ++task.step->waiting;
    --task.step->occurrence->job->occupying;
}

void job_scheduler::note(std::string_view event, const task_run &task, std::string_view reason)
{
    const auto &step = *task.step;
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          task.index};
    m_notes.push_back(
        {event, name.text(), task.attempt, task.at ? task.at->entry.id : std::string(), reason});
}

void job_scheduler::backToWaiting(task_run &task)
{
    auto &job = *task.step->occurrence->job;
    release(task);
    touch(job);
}

void job_scheduler::taskDone(task_run &task)
{
    if (task.phase == task_phase::Done)
        return;
    if (task.at)
        release(task);
    if (task.step->definition->longRunning) {
        touch(*task.step->occurrence->job);
        return;
    }
    task.phase = task_phase::Done;
    --task.step->waiting;
    ++task.step->done;
    touch(*task.step->occurrence->job);
    if (task.step->finished())
        completeStep(*task.step);
}

void job_scheduler::completeStep(step_run &step)
{
    auto &occurrence = *step.occurrence;
    auto &job = *occurrence.job;
    ++occurrence.stepsDone;
    releaseSteps(occurrence);
    if (occurrence.stepsDone < occurrence.steps.size())
        return;
    ++job.occurrencesDone;
    const auto total = std::max<std::uint32_t>(job.definition.occurrences, 1);
    if (job.occurrencesDone >= total && job.state <= job_state::Running)
        finish(job, job_state::Completed);
}

// Each attempt counts once, however often its end is told; a gang's, whichever members tell it.
void job_scheduler::countFailure(task_run &task, std::uint32_t attempt)
{
    const auto note = [attempt](std::vector<std::uint32_t> &attempts) {
        if (std::ranges::find(attempts, attempt) == attempts.end())
            attempts.push_back(attempt);
    };
    note(task.failedAttempts);
    if (task.step->definition->gang)
        note(task.step->failedAttempts);
}

void job_scheduler::taskFailed(task_run &task, time_point now)
{
    if (task.at)
        release(task);
    noteFailure(task, task.attempt, now);
}

// Several failures of one task, or of one gang, fail the job; lasting tasks are always restarted.
void job_scheduler::noteFailure(task_run &task, std::uint32_t attempt, time_point now)
{
    auto &step = *task.step;
    auto &job = *step.occurrence->job;
    countFailure(task, attempt);
    touch(job);
    const auto failures =
        step.definition->gang ? step.failedAttempts.size() : task.failedAttempts.size();
    if (step.definition->longRunning || failures < queueOf(job).attempts)
        return;
    if (job.state > job_state::Running)
        return;
    finish(job, job_state::Failed);
    stopAll(job, now);
}

// The objective counts runs that fail through the task's own fault: its dates move by them, so that
// what has failed once is not late for that alone.
void job_scheduler::allowForFailedRun(task_run &task, time_point now)
{
    if (task.startedAt == time_point {})
        return;
    auto &step = *task.step;
    auto &occurrence = *step.occurrence;
    task.failedTime += now - task.startedAt;
    const auto longest = step.definition->gang ? step.failedTime + (now - task.startedAt)
                                               : std::max(step.failedTime, task.failedTime);
    const auto stretch = queueOf(*occurrence.job).stretch;
    const auto more = std::chrono::duration_cast<duration>((longest - step.failedTime) * stretch);
    step.failedTime = longest;
    for (auto &each : occurrence.steps) {
        each.onTime += more;
        each.lateUntil += more * lateFactor;
    }
}

void job_scheduler::observeTime(const task_run &task, time_point now)
{
    const auto &step = *task.step;
    if (!task.timed || step.definition->longRunning)
        return;
    m_expected.observe(step.occurrence->job->definition.queue, step.definition->estimate,
                       std::chrono::duration_cast<milliseconds>(now - task.startedAt));
}

void job_scheduler::stopAll(job_run &job, time_point now)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps)
            stopStep(step, now);
    }
}

// One end stands for all members of a gang.
void job_scheduler::gangDone(step_run &step)
{
    for (auto &member : step.tasks)
        taskDone(member);
}

void job_scheduler::stopRun(task_run &task, time_point now)
{
    switch (task.phase) {
    case task_phase::Recording:
        // No order was sent, and none will be: the effect finds another phase.
        backToWaiting(task);
        break;
    case task_phase::Ordered:
    case task_phase::Running:
    case task_phase::Doubtful:
        task.phase = task_phase::Stopping;
        task.settled.reset();
        task.nextStop = now;
        break;
    case task_phase::Waiting:
    case task_phase::Stopping:
    case task_phase::Done:
        break;
    }
}

void job_scheduler::stopStep(step_run &step, time_point now)
{
    for (auto &member : step.tasks)
        stopRun(member, now);
}

// Reports.

void job_scheduler::onWorkerRestarted(worker &at, std::int64_t incarnationMs)
{
    at.incarnationMs = incarnationMs;
    at.lastReceivedEnd = 0;
    at.lastStoredEnd = 0;
    at.unstoredEnds.clear();
    at.leaseEndMs = 0;
}

void job_scheduler::takeEnd(worker &at, const ended_run &end, time_point now)
{
    if (end.number <= at.lastReceivedEnd)
        return;
    at.lastReceivedEnd = end.number;
    const auto name = task_name::parse(end.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->step->occurrence->job->closed) {
        // Nothing to keep: the job has ended, or never was.
        if (at.unstoredEnds.empty())
            at.lastStoredEnd = end.number;
        if (task && task->at == &at && task->attempt == end.attempt)
            release(*task);
        return;
    }
    at.unstoredEnds.insert(end.number);
    m_effects[name->job].push_back({nullptr, 0, at.entry.id, at.incarnationMs, end.number});
    touch(*task->step->occurrence->job);
    const bool current = task->at == &at && task->attempt == end.attempt;
    if (current || (end.outcome == run_outcome::Done && task->phase == task_phase::Waiting))
        applyEnd(*task, end, now);
    else if (end.outcome == run_outcome::Failed && task->phase != task_phase::Done)
        noteFailure(*task, end.attempt, now);
}

void job_scheduler::applyEnd(task_run &task, const ended_run &end, time_point now)
{
    auto &step = *task.step;
    const bool gang = step.definition->gang;
    auto *at = task.at;
    if (!end.checkpoint.empty() && step.definition->checkpoints)
        task.checkpoint = end.checkpoint;
    if (end.outcome == run_outcome::Done) {
        if (at) {
            judge(*at, task, false, now);
            observeTime(task, now);
        }
        if (gang)
            gangDone(step);
        else
            taskDone(task);
        return;
    }
    if (end.outcome == run_outcome::Failed) {
        note("run.failed", task, "told by its worker");
        if (at) {
            judge(*at, task, true, now);
            step.failedOn.push_back(at->entry.id);
            allowForFailedRun(task, now);
        }
        taskFailed(task, now);
    } else if (task.at) {
        backToWaiting(task);
    }
    if (gang)
        stopStep(step, now);
}

void job_scheduler::takeActive(worker &at, const active_run &run, time_point now)
{
    const auto name = task_name::parse(run.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->at != &at || task->attempt != run.attempt
        || task->phase == task_phase::Recording) {
        m_strays.push_back({{at.entry.id, at.entry.address}, run.task, run.attempt, m_term});
        return;
    }
    if (task->phase == task_phase::Ordered || task->phase == task_phase::Doubtful) {
        task->phase = task_phase::Running;
        task->settled = now;
        task->startedAt = now;
        task->progressAt = now;
    }
    auto &step = *task->step;
    if (!run.checkpoint.empty() && step.definition->checkpoints)
        task->checkpoint = run.checkpoint;
    if (task->firstReportAt == time_point {}) {
        task->firstReportAt = now;
        task->firstPercent = run.percent;
        task->progressAt = now;
    }
    // Time without reports proves nothing.
    if (run.percent != task->percent || now - task->reportedAt > m_options.stalled)
        task->progressAt = now;
    task->percent = run.percent;
    task->reportedAt = now;
    task->measure = run.measure;
    auto &job = *step.occurrence->job;
    if (!job.everStarted) {
        job.everStarted = true;
        if (job.state == job_state::Queued)
            job.state = job_state::Running;
        touch(job);
    }
    if (job.state > job_state::Running)
        stopRun(*task, now);
}

void job_scheduler::onReport(const std::string &id, const worker_report &report, time_point askedAt,
                             time_point now)
{
    auto *at = m_fleet.find(id);
    if (!at)
        return;
    if (report.otherIncarnation) {
        loseAll(*at, "another life of the worker answers");
        at->responsive = false;
        return;
    }
    at->responsive = true;
    if (at->reports == 0 || report.incarnationMs != at->incarnationMs)
        onWorkerRestarted(*at, report.incarnationMs);
    ++at->reports;
    at->clockMs = report.clockMs;
    at->clockAt = now;
    at->clockKnown = true;
    for (const auto &end : report.ended)
        takeEnd(*at, end, now);
    for (const auto &run : report.active)
        takeActive(*at, run, now);
    loseMissing(*at, report, askedAt, now);
    watchProgress(*at, now);
}

void job_scheduler::loseMissing(worker &at, const worker_report &report, time_point askedAt,
                                time_point now)
{
    std::vector<task_run *> missing;
    for (auto *task : at.runs) {
        if (!task->settled || *task->settled >= askedAt || task->phase == task_phase::Recording)
            continue;
        const auto &step = *task->step;
        const task_name name {step.occurrence->job->definition.id, step.occurrence->number,
                              step.number, task->index};
        const auto text = name.text();
        const bool active = std::ranges::any_of(report.active, [&](const active_run &run) {
            return run.attempt == task->attempt && run.task == text;
        });
        if (!active)
            missing.push_back(task);
    }
    for (auto *task : missing) {
        if (!task->at)
            continue;
        auto &step = *task->step;
        if (task->phase != task_phase::Stopping)
            note("run.lost", *task, "not reported by its worker");
        backToWaiting(*task);
        if (step.definition->gang)
            stopStep(step, now);
    }
}

void job_scheduler::loseAll(worker &at, std::string_view reason)
{
    const auto runs = at.runs;
    for (auto *task : runs) {
        if (task->at != &at)
            continue;
        note("run.lost", *task, reason);
        backToWaiting(*task);
    }
}

void job_scheduler::leaseRenewalFailed(const std::string &id, time_point)
{
    if (auto *at = m_fleet.find(id))
        at->responsive = false;
}

void job_scheduler::expireLeases(time_point now)
{
    for (auto &[id, at] : m_fleet.all()) {
        if (!at->responsive && !at->runs.empty() && at->leasesEnded(now))
            loseAll(*at, "the worker's lease ended");
    }
}

void job_scheduler::onStartReply(const start_order &order, start_result result,
                                 std::optional<std::int64_t> workerClockMs, time_point now)
{
    const auto name = task_name::parse(order.task);
    auto *task = name ? find(*name) : nullptr;
    if (auto *at = m_fleet.find(order.worker.id);
        at && workerClockMs && at->reports > 0 && *workerClockMs >= at->clockMs) {
        at->clockMs = *workerClockMs;
        at->clockAt = now;
    }
    if (!task || task->attempt != order.attempt || task->phase != task_phase::Ordered)
        return;
    auto &step = *task->step;
    switch (result) {
    case start_result::Accepted: {
        task->phase = task_phase::Running;
        task->settled = now;
        task->startedAt = now;
        task->timed = task->checkpoint.empty();
        task->progressAt = now;
        auto &job = *step.occurrence->job;
        if (!job.everStarted) {
            job.everStarted = true;
            job.state = job_state::Running;
            touch(job);
        }
        return;
    }
    case start_result::NoTicket:
        step.advice.good.erase(order.worker.id);
        [[fallthrough]];
    case start_result::Refused:
    case start_result::OtherIncarnation:
    case start_result::Ended:
        if (result == start_result::Refused && task->at)
            judge(*task->at, *task, true, now);
        backToWaiting(*task);
        break;
    case start_result::Unknown:
        if (task->at)
            judge(*task->at, *task, true, now);
        stopRun(*task, now);
        break;
    }
    if (step.definition->gang)
        stopStep(step, now);
}

void job_scheduler::onStopReply(const stop_order &order, bool accepted, time_point now)
{
    const auto name = task_name::parse(order.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->attempt != order.attempt || task->phase != task_phase::Stopping)
        return;
    if (accepted && !task->settled)
        task->settled = now;
}

void job_scheduler::retryStops(time_point now, scheduler_orders &orders)
{
    for (auto &[id, at] : m_fleet.all()) {
        for (auto *task : at->runs) {
            if (task->phase != task_phase::Stopping || task->settled || task->nextStop > now)
                continue;
            task->nextStop = now + m_options.stopRetry;
            const auto &step = *task->step;
            const task_name name {step.occurrence->job->definition.id, step.occurrence->number,
                                  step.number, task->index};
            orders.stops.push_back({{id, at->entry.address}, name.text(), task->attempt, m_term});
        }
    }
}

} // namespace plantaingap::jobs
