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
    ++m_runLosses[static_cast<std::size_t>(cause)];
    recordEvent("run.lost", task, textsOf(cause).reason);
    auto &fields = m_events.back().fields;
    fields.emplace_back("cause", textsOf(cause).name);
    if (task.orderedAt != time_point {})
        fields.emplace_back("age_ms", formatMilliseconds(now - task.orderedAt));
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
}

// `newIncarnationMs` is 0 if the response of the new incarnation did not tell.
void job_scheduler::recordCrash(const worker &worker, std::int64_t newIncarnationMs, time_point now)
{
    const auto lostAt = worker.unresponsiveSince.value_or(now);
    const task_run *youngest = nullptr;
    std::uint64_t runs = 0;
    for (const auto *run : worker.runs) {
        // A run ordered later was ordered from the new incarnation.
        if (!mayBeAtWork(*run) || run->orderedAt > lostAt)
            continue;
        ++runs;
        if (!youngest || run->orderedAt > youngest->orderedAt)
            youngest = run;
    }
    if (!youngest)
        return;
    ++m_workerCrashes;
    scheduler_event event {"worker.crashed",
                           nameOf(*youngest).text(),
                           youngest->attempt,
                           worker.entry.id,
                           "another incarnation responded while runs were at work",
                           {}};
    event.fields.emplace_back("runs", std::to_string(runs));
    event.fields.emplace_back("incarnation", std::to_string(worker.incarnationMs));
    event.fields.emplace_back("new_incarnation", std::to_string(newIncarnationMs));
    event.fields.emplace_back("unresponsive_ms", formatMilliseconds(now - lostAt));
    if (youngest->orderedAt != time_point {})
        event.fields.emplace_back("age_ms", formatMilliseconds(lostAt - youngest->orderedAt));
    m_events.push_back(std::move(event));
}

void job_scheduler::releaseMissingRuns(worker &worker, const worker_report &report,
                                       time_point askedAt, run_loss_cause cause, time_point now)
{
    std::vector<task_run *> missing;
    for (auto *task : worker.runs) {
        if (!task->acknowledgedAt || *task->acknowledgedAt >= askedAt
            || task->phase == task_phase::Recording)
            continue;
        const auto text = nameOf(*task).text();
        const bool active = std::ranges::any_of(report.active, [&](const active_run &run) {
            return run.attempt == task->attempt && run.task == text;
        });
        if (!active)
            missing.push_back(task);
    }
    for (auto *task : missing) {
        if (!task->assignedWorker)
            continue;
        auto &step = *task->step;
        if (task->phase == task_phase::Stopping)
            returnToWaiting(*task);
        else
            loseRun(*task, cause, now);
        if (step.definition->gang)
            stopStep(step, now);
    }
}

void job_scheduler::leaseRenewalFailed(const std::string &id, time_point now)
{
    auto *worker = m_fleet.find(id);
    if (!worker)
        return;
    worker->responsive = false;
    if (!worker->unresponsiveSince)
        worker->unresponsiveSince = now;
}

void job_scheduler::expireLeases(time_point now)
{
    for (auto &[id, worker] : m_fleet.all()) {
        if (worker->responsive || worker->runs.empty() || !worker->leasesEnded(now))
            continue;
        const auto runs = worker->runs;
        for (auto *task : runs) {
            if (task->assignedWorker == worker.get())
                loseRun(*task, run_loss_cause::LeaseExpired, now);
        }
    }
}

} // namespace plantaingap::jobs
