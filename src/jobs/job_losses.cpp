#include "jobs/job_scheduler.h"

#include <algorithm>
#include <array>

// Runs that end without a report of their end: their worker crashed, left, lost its lease or never
// started them.
namespace plantaingap::jobs {

namespace {

struct cause_texts
{
    run_loss_cause cause;
    std::string_view name;
    std::string_view reason;
};

constexpr std::array<cause_texts, runLossCauses> causeTexts {
    {{run_loss_cause::WorkerCrashed, "worker_crashed",
      "another incarnation of the worker responded"},
     {run_loss_cause::WorkerLeft, "worker_left", "the worker was draining and has been replaced"},
     {run_loss_cause::LeaseExpired, "lease_expired", "worker lease expired"},
     {run_loss_cause::NotReported, "not_reported", "missing from the worker report"}}};

const cause_texts &textsOf(run_loss_cause cause)
{
    return *std::ranges::find(causeTexts, cause, &cause_texts::cause);
}

std::string formatMilliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

// Fewer lost workers are no reason to refuse jobs, however small the fleet.
constexpr std::size_t minLostWorkers = 4;

bool runsOneJob(const worker &worker)
{
    const auto jobOf = [](const task_run *run) { return run->step->occurrence->job; };
    return std::ranges::all_of(
        worker.runs, [&](const task_run *run) { return jobOf(run) == jobOf(worker.runs.front()); });
}

// The start order may have reached the worker, and the run has not been reported as ended.
bool mayBeAtWork(const task_run &task)
{
    return task.phase != task_phase::Recording;
}

} // namespace

std::string_view runLossName(run_loss_cause cause)
{
    return textsOf(cause).name;
}

void job_scheduler::loseRun(task_run &task, run_loss_cause cause, time_point now)
{
    if (task.phase == task_phase::Done) {
        releaseDone(task);
        return;
    }
    ++m_runLosses[static_cast<std::size_t>(cause)];
    recordEvent("run.lost", task, textsOf(cause).reason);
    auto &fields = m_events.back().fields;
    fields.emplace_back("cause", textsOf(cause).name);
    if (task.orderedAt != time_point {})
        fields.emplace_back("age_ms", formatMilliseconds(now - task.orderedAt));
    recordRunEnd(task, run_end_cause::Lost, now);
    returnToWaiting(task);
}

// Another worker has responded at the address of this one, so none of its runs exists any more.
void job_scheduler::loseRunsOfReplacedWorker(worker &worker, time_point now)
{
    const bool crashed = !worker.entry.draining;
    if (crashed)
        recordCrash(worker, 0, now);
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->assignedWorker != &worker)
            continue;
        if (mayBeAtWork(*task))
            loseRun(*task, crashed ? run_loss_cause::WorkerCrashed : run_loss_cause::WorkerLeft,
                    now);
        else
            returnToWaiting(*task);
    }
    removeOrphans(worker);
}

// How strongly the loss of its worker speaks against a run. `freshRuns`: the runs that had been
// started there right before.
crash_evidence job_scheduler::crashEvidence(const worker &worker, const task_run &task,
                                            std::int64_t freshRuns) const
{
    const bool started = task.startedAt != time_point {};
    // A run of a previous leader may have been started right before, too.
    if (task.orderedAt == time_point {}) {
        if (!runsOneJob(worker))
            return crash_evidence::Bystander;
        return task.isolated ? crash_evidence::Alone : crash_evidence::Beside;
    }
    if (!isFresh(worker, task)) {
        if (!started)
            return crash_evidence::Unconfirmed;
        return freshRuns > 0 ? crash_evidence::Bystander : crash_evidence::Beside;
    }
    // One member of a gang is enough to end it.
    const bool isolatedGang = task.isolated && task.step->definition->gang;
    if (!started && freshRuns > 1 && !isolatedGang)
        return crash_evidence::Unconfirmed;
    if (task.isolated)
        return crash_evidence::Alone;
    return freshRuns > 1 ? crash_evidence::Fresh : crash_evidence::OnlyFresh;
}

// The worker was lost at once after it started the run, or after the start was ordered.
bool job_scheduler::isFresh(const worker &worker, const task_run &task) const
{
    if (!worker.connectionBroken || !worker.unresponsiveSince || task.orderedAt == time_point {})
        return false;
    return task.startedAt == time_point {}
           || *worker.unresponsiveSince - task.startedAt <= m_options.freshRunAge;
}

// Counts a crash against all runs of the previous incarnation. `newIncarnationMs` is 0 if the
// response of the new one did not tell.
void job_scheduler::recordCrash(worker &worker, std::int64_t newIncarnationMs, time_point now)
{
    const auto lostAt = worker.unresponsiveSince.value_or(now);
    // Until the worker has reported in this term, only the rows tell where a run was started. A run
    // of the incarnation that reports now was not lost by a crash.
    const auto outlived = [&worker, newIncarnationMs](std::int64_t startedOn) {
        return worker.reports == 0 && newIncarnationMs != 0
               && (startedOn == 0 || startedOn == newIncarnationMs);
    };
    std::vector<worker::lost_run> lost = std::exchange(worker.unresolvedLosses, {});
    std::erase_if(lost, [&](const auto &run) { return outlived(run.incarnationMs); });
    const auto freshRuns = std::ranges::count_if(
        worker.runs, [&](const task_run *run) { return isFresh(worker, *run); });
    for (const auto *run : worker.runs) {
        // A run ordered later was ordered from the new incarnation.
        if (!mayBeAtWork(*run) || run->orderedAt > lostAt)
            continue;
        if (outlived(run->recordedIncarnationMs))
            continue;
        lost.push_back({nameOf(*run), run->attempt, crashEvidence(worker, *run, freshRuns),
                        run->recordedIncarnationMs});
    }
    if (lost.empty())
        return;
    ++m_workerCrashes;
    scheduler_event event {"worker.crashed",
                           {},
                           0,
                           worker.entry.id,
                           "another incarnation responded while runs were at work",
                           {}};
    event.fields.emplace_back("runs", std::to_string(lost.size()));
    event.fields.emplace_back("fresh_runs", std::to_string(freshRuns));
    event.fields.emplace_back("incarnation", std::to_string(worker.incarnationMs));
    event.fields.emplace_back("new_incarnation", std::to_string(newIncarnationMs));
    event.fields.emplace_back("unresponsive_ms", formatMilliseconds(now - lostAt));
    m_events.push_back(std::move(event));
    for (const auto &run : lost)
        countCrash(run, worker, now);
}

void job_scheduler::countCrash(const worker::lost_run &lost, const worker &worker, time_point now)
{
    auto *task = find(lost.task);
    if (!task || task->phase == task_phase::Done)
        return;
    auto &step = *task->step;
    auto &job = *step.occurrence->job;
    if (job.state > job_state::Running || !task->crashes.add(lost.attempt, lost.evidence))
        return;
    step.crashed = true;
    step.lastCrashAt = now;
    markChanged(job);
    if (lost.evidence >= crash_evidence::Fresh)
        addUnique(step.crashedAt, worker.entry.address);
    if (task->crashes.givenUp()) {
        ++m_tasksGivenUp;
        recordEvent("task.given_up", *task, "workers crash when they start it");
        m_events.back().fields.emplace_back("crashes",
                                            std::to_string(task->crashes.records().size()));
        finish(job, job_state::Failed);
        stopAll(job, now);
    } else if (task->crashes.suspected()) {
        recordEvent("task.suspected", *task, "its worker crashed right after the start, or twice");
        m_events.back().fields.emplace_back("crashes",
                                            std::to_string(task->crashes.records().size()));
    }
}

void job_scheduler::countLostByQueue()
{
    m_lostByQueue.clear();
    for (const auto &[id, worker] : m_fleet.all()) {
        if (worker->responsive || !worker->connectionBroken)
            continue;
        const std::string *queue = nullptr;
        bool oneQueue = true;
        for (const auto *run : worker->runs) {
            if (run->isolated || !isFresh(*worker, *run))
                continue;
            const auto &name = run->step->occurrence->job->definition.queue;
            oneQueue = oneQueue && (!queue || *queue == name);
            queue = &name;
        }
        if (queue && oneQueue)
            ++m_lostByQueue[*queue];
    }
}

bool job_scheduler::takesDownFleet(std::string_view queue) const
{
    const auto lost = m_lostByQueue.find(queue);
    if (lost == m_lostByQueue.end())
        return false;
    const auto listed = std::ranges::count_if(
        m_fleet.all(), [](const auto &entry) { return entry.second->listed; });
    return lost->second >= minLostWorkers
           && static_cast<double>(lost->second)
                  > m_options.maxLostShare * static_cast<double>(listed);
}

// A run that is at work for the probation time does not crash workers at its start.
void job_scheduler::endProbation(task_run &task, time_point now)
{
    if (task.startedAt == time_point {} || now - task.startedAt < m_options.probation)
        return;
    endIsolation(task);
    if (!task.crashes.suspected())
        return;
    task.crashes.clear(task.attempt);
    // A task that lasts outlives crashes that others cause.
    if (task.step->definition->longRunning)
        task.crashes = {};
    recordEvent("task.cleared", task, "the worker outlived the probation of the run");
}

// Whether the start order of a run that was never seen may still be executed: the worker rejects it
// once its lease has ended, and another incarnation never gets it.
bool job_scheduler::mayStillStart(const worker &worker, task_run &task, const worker_report &report)
{
    if (task.startedAt != time_point {} || task.firstReportAt != time_point {})
        return false;
    if (task.startIncarnationMs != 0 && task.startIncarnationMs != report.incarnationMs)
        return false;
    if (task.startLeaseEndMs == 0)
        task.startLeaseEndMs = worker.leaseEndMs;
    return report.clockMs <= task.startLeaseEndMs;
}

// A report need not list a run that is being stopped, so a run that is missing from it stays
// counted until its end is listed or a stop of it has ended, however long that took. A report that
// may omit ends shows of no run that it is missing. Without a reply to a stop order, which may not
// reach the worker for long, a report shows as much of a run that cannot be started any more.
void job_scheduler::releaseMissingRuns(worker &worker, const worker_report &report,
                                       time_point askedAt, bool restarted, time_point now)
{
    std::vector<task_run *> missing;
    std::vector<task_run *> crashed;
    std::vector<task_run *> gone;
    for (auto *task : worker.runs) {
        const bool stopUnanswered = awaitsEnd(*task) && !task->acknowledgedAt;
        if (stopUnanswered && restarted && task->startIncarnationMs == 0)
            task->startLeaseEndMs = 0;
        if (stopUnanswered ? mayStillStart(worker, *task, report)
                           : !task->acknowledgedAt || *task->acknowledgedAt >= askedAt)
            continue;
        const auto text = nameOf(*task).text();
        const bool active = std::ranges::any_of(report.active, [&](const active_run &run) {
            return run.attempt == task->attempt && run.task == text;
        });
        if (active) {
            task->missingSince.reset();
            continue;
        }
        // An order that was acknowledged after the last report of the previous incarnation may have
        // reached this one.
        const bool ofPreviousIncarnation =
            task->firstReportAt != time_point {}
            || (task->acknowledgedAt && *task->acknowledgedAt <= worker.lastReportAskedAt)
            || (stopUnanswered && task->startIncarnationMs != 0
                && task->startIncarnationMs != report.incarnationMs);
        if (restarted && ofPreviousIncarnation) {
            crashed.push_back(task);
            continue;
        }
        // Its end may be one of those.
        if (report.endsOmitted)
            continue;
        if (!task->missingSince) {
            task->missingSince = now;
            missing.push_back(task);
        }
        const auto stoppedBy = task->phase == task_phase::Stopping && task->acknowledgedAt
                                   ? std::min(*task->acknowledgedAt, *task->missingSince)
                                   : *task->missingSince;
        if (stopHasEnded(stoppedBy, askedAt))
            gone.push_back(task);
    }
    for (const auto *task : missing) {
        if (task->step->definition->gang && task->phase != task_phase::Done)
            stopPresentMembers(*task->step, now);
    }
    for (auto *task : crashed)
        releaseMissingRun(*task, run_loss_cause::WorkerCrashed, now);
    for (auto *task : gone)
        releaseMissingRun(*task, run_loss_cause::NotReported, now);
}

void job_scheduler::releaseMissingRun(task_run &task, run_loss_cause cause, time_point now)
{
    if (!task.assignedWorker)
        return;
    auto &step = *task.step;
    const bool done = task.phase == task_phase::Done;
    if (done || task.phase == task_phase::Stopping) {
        recordUnlistedRelease(task, textsOf(cause).reason);
        if (done)
            releaseDone(task);
        else
            returnToWaiting(task);
    } else {
        loseRun(task, cause, now);
    }
    if (step.definition->gang && !done)
        stopStep(step, now);
}

void job_scheduler::leaseRenewalFailed(const std::string &id, renewal_failure failure,
                                       time_point now)
{
    auto *worker = m_fleet.find(id);
    if (!worker)
        return;
    worker->responsive = false;
    if (!worker->unresponsiveSince) {
        worker->unresponsiveSince = now;
        worker->connectionBroken = failure == renewal_failure::ConnectionBroken;
    }
}

void job_scheduler::expireLeases(time_point now)
{
    for (auto &[id, worker] : m_fleet.all()) {
        const bool empty = worker->runs.empty() && worker->orphans.empty();
        if (worker->responsive || empty || !worker->leasesEnded(now))
            continue;
        loseLeasedRuns(*worker, now);
    }
}

void job_scheduler::recordRestart(const worker &worker, const worker_report &report, time_point now)
{
    scheduler_event event {
        "worker.restarted", {}, 0, worker.entry.id, "another incarnation has reported", {}};
    event.fields.emplace_back("incarnation", std::to_string(report.incarnationMs));
    event.fields.emplace_back("clock_ms", std::to_string(report.clockMs));
    event.fields.emplace_back("former_incarnation", std::to_string(worker.incarnationMs));
    event.fields.emplace_back("former_clock_ms", std::to_string(worker.estimatedClock(now)));
    event.fields.emplace_back("former_lease_end_ms", std::to_string(worker.leaseEndMs));
    m_events.push_back(std::move(event));
}

void job_scheduler::recordOtherClock(const start_order &order, const worker &worker,
                                     std::int64_t workerClockMs, time_point now)
{
    scheduler_event event {"start.other_clock",
                           order.task,
                           order.attempt,
                           worker.entry.id,
                           "the reply does not continue the clock of the last report",
                           {}};
    event.fields.emplace_back("incarnation", std::to_string(worker.incarnationMs));
    event.fields.emplace_back("lease_end_ms", std::to_string(order.leaseEndMs));
    event.fields.emplace_back("reply_clock_ms", std::to_string(workerClockMs));
    event.fields.emplace_back("clock_ms", std::to_string(worker.estimatedClock(now)));
    m_events.push_back(std::move(event));
}

void job_scheduler::recordLeasesEnded(const worker &worker, time_point now)
{
    scheduler_event event {"worker.leases_ended",
                           {},
                           0,
                           worker.entry.id,
                           worker.reports == 0 ? "the wait for leases of previous leaders is over"
                                               : "its clock has certainly passed its lease end",
                           {}};
    event.fields.emplace_back("runs", std::to_string(worker.runs.size()));
    if (worker.reports > 0) {
        event.fields.emplace_back("incarnation", std::to_string(worker.incarnationMs));
        event.fields.emplace_back("lease_end_ms", std::to_string(worker.leaseEndMs));
        event.fields.emplace_back("clock_ms", std::to_string(worker.certainlyPastAt(now)));
        event.fields.emplace_back("report_age_ms", formatMilliseconds(now - worker.clockAt));
    }
    m_events.push_back(std::move(event));
}

// The leases of a worker have expired. A new incarnation may prove later that it crashed; until
// then runs that were started right before are suspected.
void job_scheduler::loseLeasedRuns(worker &worker, time_point now)
{
    // A worker that left the list under a previous leader will not prove that it crashed.
    const bool neverProved = worker.reports == 0 && !worker.listed;
    recordLeasesEnded(worker, now);
    const auto runs = worker.runs;
    const auto freshRuns =
        std::ranges::count_if(runs, [&](const task_run *run) { return isFresh(worker, *run); });
    for (auto *task : runs) {
        if (task->assignedWorker != &worker)
            continue;
        if (mayBeAtWork(*task)) {
            const worker::lost_run lost {nameOf(*task), task->attempt,
                                         crashEvidence(worker, *task, freshRuns),
                                         task->recordedIncarnationMs};
            if (neverProved)
                countCrash(lost, worker, now);
            else
                worker.unresolvedLosses.push_back(lost);
            if (!neverProved && isFresh(worker, *task))
                countCrash({lost.task, lost.attempt, crash_evidence::Unconfirmed, 0}, worker, now);
        }
        if (task->assignedWorker == &worker)
            loseRun(*task, run_loss_cause::LeaseExpired, now);
    }
    removeOrphans(worker);
    worker.unresolvedUntil = now + m_options.unresolvedLossRetention;
}

} // namespace plantaingap::jobs
