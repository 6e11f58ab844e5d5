#include "jobs/job_scheduler.h"
#include "jobs/task_capacity.h"

#include <algorithm>
#include <array>
#include <optional>

// Task state transitions: resource allocation, completions, worker reports, leases and order
// replies.
namespace plantaingap::jobs {

namespace {

// A stopped run ended for the reason for which it was stopped.
std::optional<run_end_cause> causeOf(run_outcome outcome)
{
    constexpr std::array<std::pair<run_outcome, run_end_cause>, 4> causes {
        {{run_outcome::Failed, run_end_cause::Failed},
         {run_outcome::LeaseExpired, run_end_cause::Lost},
         {run_outcome::GangMemberEnded, run_end_cause::MemberEnded},
         {run_outcome::GangIncomplete, run_end_cause::NotStarted}}};
    for (const auto &[ended, cause] : causes) {
        if (ended == outcome)
            return cause;
    }
    return std::nullopt;
}

// No attempts limit applies to a long-running task; whether one has failed more than once decides
// if its failures are evidence against its workers.
constexpr std::size_t maxFailuresOfLongRunning = 2;

} // namespace

void job_scheduler::allocate(task_run &task, worker &worker)
{
    task.assignedWorker = &worker;
    --task.step->waiting;
    auto &job = *task.step->occurrence->job;
    ++job.occupying;
    const auto &definition = *task.step->definition;
    if (job.account)
        job.account->used += definition.demand;
    worker.used += effectiveDemand(definition);
    if (definition.longRunning)
        worker.usedByLongRunning += effectiveDemand(definition);
    worker.runs.push_back(&task);
}

// Nothing else is placed on the worker of the task until endIsolation().
void job_scheduler::isolate(task_run &task)
{
    task.isolated = true;
    ++task.assignedWorker->isolatedRuns;
    task.crashes.startAlone(task.attempt);
}

void job_scheduler::endIsolation(task_run &task)
{
    if (!task.isolated)
        return;
    task.isolated = false;
    --task.assignedWorker->isolatedRuns;
}

void job_scheduler::release(task_run &task)
{
    endIsolation(task);
    auto &worker = *task.assignedWorker;
    const auto &definition = *task.step->definition;
    worker.used -= effectiveDemand(definition);
    if (definition.longRunning)
        worker.usedByLongRunning -= effectiveDemand(definition);
    if (auto *account = task.step->occurrence->job->account)
        account->used -= definition.demand;
    std::erase(worker.runs, &task);
    task.assignedWorker = nullptr;
    task.acknowledgedAt.reset();
    task.missingSince.reset();
    task.fullRun = false;
    task.percent = 0;
    task.firstReportAt = {};
    task.speedObserved = false;
    task.window = {};
    task.orderedAt = {};
    task.startedAt = {};
    task.recordedIncarnationMs = 0;
    task.startIncarnationMs = 0;
    task.startLeaseEndMs = 0;
    if (task.phase != task_phase::Done) {
        task.phase = task_phase::Waiting;
        ++task.step->waiting;
        task.step->examineAt = {};
    }
    --task.step->occurrence->job->occupying;
}

// The row of the job names the worker, and the occurrence of a recurring job is kept, until the
// next change of the job.
void job_scheduler::releaseDone(task_run &task)
{
    auto &job = *task.step->occurrence->job;
    release(task);
    markChanged(job);
}

void job_scheduler::recordEvent(std::string_view event, const task_run &task,
                                std::string_view reason)
{
    m_events.push_back({event,
                        nameOf(task).text(),
                        task.attempt,
                        task.assignedWorker ? task.assignedWorker->entry.id : std::string(),
                        reason,
                        {}});
}

task_name job_scheduler::nameOf(const task_run &task)
{
    const auto &step = *task.step;
    return {step.occurrence->job->definition.id, step.occurrence->number, step.number, task.index};
}

void job_scheduler::returnToWaiting(task_run &task)
{
    auto &job = *task.step->occurrence->job;
    release(task);
    markChanged(job);
}

void job_scheduler::completeTask(task_run &task)
{
    if (task.phase == task_phase::Done)
        return;
    if (task.step->definition->longRunning) {
        markChanged(*task.step->occurrence->job);
        return;
    }
    if (task.phase == task_phase::Waiting)
        --task.step->waiting;
    task.phase = task_phase::Done;
    ++task.step->done;
    markChanged(*task.step->occurrence->job);
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

// Counts each attempt once, however often its failure is reported; for a gang, whichever member
// reports it.
void job_scheduler::countFailure(task_run &task, std::uint32_t attempt)
{
    const auto &definition = *task.step->definition;
    addUnique(task.failedAttempts, attempt);
    if (definition.gang)
        addUnique(task.step->failedAttempts, attempt);
    if (definition.longRunning)
        dropUncountedFailures(*task.step, task);
}

// Long-running tasks may fail any number of times, so a record of all failures would grow without
// bound.
void job_scheduler::dropUncountedFailures(step_run &step, task_run &task)
{
    if (task.failedAttempts.size() > maxFailuresOfLongRunning)
        task.failedAttempts.resize(maxFailuresOfLongRunning);
    step.failedAttempts.clear();
}

void job_scheduler::failTask(task_run &task, time_point now)
{
    if (task.assignedWorker)
        release(task);
    recordFailure(task, task.attempt, now);
}

// Repeated failures of a task or gang fail the job; long-running tasks are always restarted.
void job_scheduler::recordFailure(task_run &task, std::uint32_t attempt, time_point now)
{
    auto &step = *task.step;
    auto &job = *step.occurrence->job;
    countFailure(task, attempt);
    markChanged(job);
    const auto failures =
        step.definition->gang ? step.failedAttempts.size() : task.failedAttempts.size();
    if (step.definition->longRunning || failures < queueOf(job).attempts)
        return;
    if (job.state > job_state::Running)
        return;
    finish(job, job_state::Failed);
    stopAll(job, now);
}

// Extends the objective by the time lost in runs that a worker reported as failed, so that a job is
// not late only because of them.
void job_scheduler::extendObjective(task_run &task, time_point now)
{
    if (task.startedAt == time_point {})
        return;
    auto &step = *task.step;
    auto &occurrence = *step.occurrence;
    task.failedTime += now - task.startedAt;
    const auto longestLost = step.definition->gang ? step.failedTime + (now - task.startedAt)
                                                   : std::max(step.failedTime, task.failedTime);
    const auto stretch = queueOf(*occurrence.job).stretch;
    const auto extension =
        std::chrono::duration_cast<duration>((longestLost - step.failedTime) * stretch);
    step.failedTime = longestLost;
    for (auto &other : occurrence.steps) {
        other.onTimeUntil += extension;
        other.lateUntil += extension * lateSpanFactor;
    }
}

void job_scheduler::observeDuration(const task_run &task, time_point now)
{
    const auto &step = *task.step;
    if (!task.fullRun || step.definition->longRunning)
        return;
    m_durations.observe(step.occurrence->job->definition.queue, step.definition->estimate,
                        std::chrono::duration_cast<milliseconds>(now - task.startedAt));
}

void job_scheduler::stopAll(job_run &job, time_point now)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps)
            stopStep(step, now);
    }
}

// The completion of one member completes all members of a gang. Their resources stay counted until
// their own workers show that they have ended.
void job_scheduler::completeGang(step_run &step, std::uint32_t attempt, time_point now)
{
    if (step.definition->longRunning) {
        stopStep(step, now);
        return;
    }
    for (auto &member : step.tasks) {
        if (member.phase == task_phase::Recording)
            release(member);
        // Members of that attempt end by themselves.
        member.nextStopAt = member.attempt == attempt ? now + m_options.stopRetryInterval : now;
        completeTask(member);
    }
}

void job_scheduler::stopRun(task_run &task, time_point now)
{
    switch (task.phase) {
    case task_phase::Recording:
        // No order was sent, and the stored effect does not send one because the phase has changed.
        returnToWaiting(task);
        break;
    case task_phase::Ordered:
    case task_phase::Running:
    case task_phase::Doubtful:
        task.phase = task_phase::Stopping;
        task.acknowledgedAt.reset();
        task.nextStopAt = now;
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

void job_scheduler::stopPresentMembers(step_run &step, time_point now)
{
    for (auto &member : step.tasks) {
        if (!member.missingSince)
            stopRun(member, now);
    }
}

// Reports.

void job_scheduler::onWorkerRestarted(worker &worker, std::int64_t incarnationMs)
{
    worker.incarnationMs = incarnationMs;
    worker.lastReceivedEnd = 0;
    worker.lastStoredEnd = 0;
    worker.unstoredEnds.clear();
    if (worker.reports > 0)
        removeOrphans(worker);
}

void job_scheduler::processEnd(worker &worker, const ended_run &end, time_point now)
{
    if (end.number <= worker.lastReceivedEnd)
        return;
    worker.lastReceivedEnd = end.number;
    const auto name = task_name::parse(end.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->step->occurrence->job->closed) {
        // Nothing to store: the job has ended or is unknown.
        if (worker.unstoredEnds.empty())
            worker.lastStoredEnd = end.number;
        if (task && task->assignedWorker == &worker && task->attempt == end.attempt)
            release(*task);
        return;
    }
    worker.unstoredEnds.insert(end.number);
    m_effects[name->job].push_back({nullptr, 0, worker.entry.id, worker.incarnationMs, end.number});
    markChanged(*task->step->occurrence->job);
    const bool current = task->assignedWorker == &worker && task->attempt == end.attempt;
    if (current && task->phase == task_phase::Done)
        releaseDone(*task);
    else if (current || (end.outcome == run_outcome::Done && task->phase == task_phase::Waiting))
        applyEnd(*task, end, now);
    else if (end.outcome == run_outcome::Failed && task->phase != task_phase::Done)
        recordFailure(*task, end.attempt, now);
}

void job_scheduler::applyEnd(task_run &task, const ended_run &end, time_point now)
{
    auto &step = *task.step;
    const bool gang = step.definition->gang;
    auto *worker = task.assignedWorker;
    if (!end.checkpoint.empty() && step.definition->checkpoints)
        task.checkpoint = end.checkpoint;
    if (end.outcome == run_outcome::Done) {
        if (worker) {
            updateHealth(*worker, task, run_verdict::Sound, now);
            observeDuration(task, now);
        }
        if (worker)
            release(task);
        completeTask(task);
        if (gang)
            completeGang(step, end.attempt, now);
        return;
    }
    if (end.outcome == run_outcome::Failed) {
        recordEvent("run.failed", task, "failure reported by the worker");
        recordRunEnd(task, run_end_cause::Failed, now);
        if (worker) {
            updateHealth(*worker, task, run_verdict::Failed, now);
            addUnique(step.failedOn, worker->entry.id);
            ++step.failedRuns;
            extendObjective(task, now);
        }
        failTask(task, now);
    } else if (task.assignedWorker) {
        if (const auto cause = causeOf(end.outcome))
            recordRunEnd(task, *cause, now);
        returnToWaiting(task);
    }
    if (gang)
        stopStep(step, now);
}

void job_scheduler::orderStop(const worker &worker, const active_run &run)
{
    m_stopsOfReported.push_back(
        {{worker.entry.id, worker.entry.address}, run.task, run.attempt, m_term});
}

std::optional<unaccounted_cause>
job_scheduler::processActiveRun(worker &worker, const active_run &run, time_point now)
{
    const auto name = task_name::parse(run.task);
    auto *task = name ? find(*name) : nullptr;
    if (const auto cause = unaccountedCause(worker, task, run)) {
        orderStop(worker, run);
        return isCountedOrphan(worker, run) ? std::nullopt : cause;
    }
    if (task->phase == task_phase::Done) {
        task->acknowledgedAt = task->acknowledgedAt.value_or(now);
        if (task->nextStopAt <= now)
            orderStop(worker, run);
        return std::nullopt;
    }
    if (task->phase == task_phase::Ordered || task->phase == task_phase::Doubtful) {
        task->phase = task_phase::Running;
        task->acknowledgedAt = now;
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
    // A gap between reports is no evidence of a hung run.
    if (run.percent != task->percent || now - task->reportedAt > m_options.stallTimeout)
        task->progressAt = now;
    task->percent = run.percent;
    task->reportedAt = now;
    endProbation(*task, now);
    task->measure = run.measure;
    auto &job = *step.occurrence->job;
    if (!job.everStarted) {
        job.everStarted = true;
        if (job.state == job_state::Queued)
            job.state = job_state::Running;
        markChanged(job);
    }
    if (job.state > job_state::Running)
        stopRun(*task, now);
    return std::nullopt;
}

void job_scheduler::onReport(const std::string &id, const worker_report &report, time_point askedAt,
                             time_point now)
{
    auto *worker = m_fleet.find(id);
    if (!worker)
        return;
    if (report.otherIncarnation) {
        loseRunsOfReplacedWorker(*worker, now);
        worker->responsive = false;
        return;
    }
    const bool restarted = worker->reports > 0 && report.incarnationMs != worker->incarnationMs;
    if (restarted)
        recordRestart(*worker, report, now);
    if (restarted || worker->reports == 0)
        recordCrash(*worker, report.incarnationMs, now);
    if (restarted || worker->reports == 0)
        onWorkerRestarted(*worker, report.incarnationMs);
    if (restarted || worker->reports == 0) {
        worker->leaseEndMs =
            report.clockMs
            + longestPreviousLease(m_options.lease, m_options.previousLeaderLease).count();
    }
    // It was only silent.
    worker->unresolvedLosses.clear();
    worker->responsive = true;
    worker->unresponsiveSince.reset();
    worker->connectionBroken = false;
    ++worker->reports;
    worker->clockMs = report.clockMs;
    worker->clockAt = now;
    worker->clockKnown = true;
    for (const auto &end : report.ended)
        processEnd(*worker, end, now);
    std::vector<unaccounted_run> unaccounted;
    for (const auto &run : report.active) {
        if (const auto cause = processActiveRun(*worker, run, now))
            unaccounted.push_back({&run, *cause});
    }
    const auto unaccountedBefore = worker->unaccountedRuns;
    updateOrphans(*worker, report, unaccounted, askedAt, now);
    recordUnaccounted(*worker, report, unaccounted, unaccountedBefore);
    releaseMissingRuns(*worker, report, askedAt, restarted, now);
    worker->lastReportAskedAt = askedAt;
    checkProgress(*worker, now);
    observeInterference(*worker, now);
}

void job_scheduler::onStartReply(const start_order &order, start_result result,
                                 std::optional<std::int64_t> workerClockMs, time_point now)
{
    const auto name = task_name::parse(order.task);
    auto *task = name ? find(*name) : nullptr;
    auto *worker = m_fleet.find(order.worker.id);
    const bool sameIncarnation =
        worker && worker->reports > 0 && worker->incarnationMs == order.incarnationMs;
    if (sameIncarnation && workerClockMs) {
        if (!worker->continuesClock(*workerClockMs, now))
            recordOtherClock(order, *worker, *workerClockMs, now);
        if (*workerClockMs >= worker->clockMs) {
            worker->clockMs = *workerClockMs;
            worker->clockAt = now;
        }
    }
    // Nothing else is placed there until the other incarnation has reported.
    if (sameIncarnation && result == start_result::OtherIncarnation)
        worker->responsive = false;
    if (worker && result == start_result::NotSent)
        worker->startsPausedUntil = now + m_options.unsentStartPause;
    if (!task || task->attempt != order.attempt)
        return;
    auto &step = *task->step;
    // The run was to be stopped meanwhile, and there is none.
    if (task->phase == task_phase::Stopping && result == start_result::NotSent) {
        returnToWaiting(*task);
        return;
    }
    if (task->phase != task_phase::Ordered)
        return;
    if (result != start_result::Accepted)
        recordRunEnd(*task, run_end_cause::NotStarted, now);
    switch (result) {
    case start_result::Accepted: {
        task->phase = task_phase::Running;
        task->acknowledgedAt = now;
        task->startedAt = now;
        task->fullRun = task->checkpoint.empty();
        task->progressAt = now;
        auto &job = *step.occurrence->job;
        if (!job.everStarted) {
            job.everStarted = true;
            job.state = job_state::Running;
            markChanged(job);
        }
        return;
    }
    case start_result::NoTicket:
        dropTicket(step, order.worker.id);
        [[fallthrough]];
    case start_result::Refused:
    case start_result::OtherIncarnation:
    case start_result::NotSent:
    case start_result::Ended:
        if (result == start_result::Refused && task->assignedWorker)
            updateHealth(*task->assignedWorker, *task, run_verdict::NotStarted, now);
        returnToWaiting(*task);
        break;
    case start_result::Unknown:
        if (task->assignedWorker)
            updateHealth(*task->assignedWorker, *task, run_verdict::NotStarted, now);
        stopRun(*task, now);
        break;
    case start_result::ConnectionBroken:
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
    if (!task || task->attempt != order.attempt || !awaitsEnd(*task))
        return;
    if (accepted && !task->acknowledgedAt)
        task->acknowledgedAt = now;
}

void job_scheduler::retryStops(time_point now, scheduler_orders &orders)
{
    for (auto &[id, worker] : m_fleet.all()) {
        for (auto *task : worker->runs) {
            if (!awaitsEnd(*task) || task->acknowledgedAt || task->nextStopAt > now)
                continue;
            task->nextStopAt = now + m_options.stopRetryInterval;
            orders.stops.push_back(
                {{id, worker->entry.address}, nameOf(*task).text(), task->attempt, m_term});
        }
    }
}

} // namespace plantaingap::jobs
