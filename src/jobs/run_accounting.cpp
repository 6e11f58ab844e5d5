#include "jobs/job_scheduler.h"

#include <algorithm>
#include <array>
#include <utility>

// Compares the runs that workers report with those whose resources are counted for them.
namespace plantaingap::jobs {

namespace {

constexpr std::array<std::string_view, unaccountedCauses> causeNames {
    "unknown_job", "ended_job", "released", "other_worker", "other_attempt", "not_ordered"};

// Runs named in one event; the rest are counted.
constexpr std::size_t maxRunsNamed = 4;

std::string formatResources(const resources &amount)
{
    return std::to_string(amount.milliCores) + "/" + std::to_string(amount.memoryMib) + "/"
           + std::to_string(amount.accelerators);
}

void addCapacityFields(scheduler_event &event, const worker &worker)
{
    event.fields.emplace_back("used", formatResources(worker.used));
    event.fields.emplace_back("capacity", formatResources(worker.entry.capacity));
    event.fields.emplace_back("unaccounted", std::to_string(worker.unaccountedRuns));
    event.fields.emplace_back("reports", std::to_string(worker.reports));
}

} // namespace

std::string_view unaccountedCauseName(unaccounted_cause cause)
{
    return causeNames[static_cast<std::size_t>(cause)];
}

std::optional<unaccounted_cause> job_scheduler::unaccountedCause(const worker &worker,
                                                                 const task_run *task,
                                                                 const active_run &run) const
{
    if (!task) {
        const auto name = task_name::parse(run.task);
        return name && m_endedJobs.contains(name->job) ? unaccounted_cause::EndedJob
                                                       : unaccounted_cause::UnknownJob;
    }
    if (!task->assignedWorker) {
        return task->step->occurrence->job->state > job_state::Running
                   ? unaccounted_cause::EndedJob
                   : unaccounted_cause::Released;
    }
    if (task->assignedWorker != &worker)
        return unaccounted_cause::OtherWorker;
    if (task->attempt != run.attempt)
        return unaccounted_cause::OtherAttempt;
    if (task->phase == task_phase::Recording)
        return unaccounted_cause::NotOrdered;
    return std::nullopt;
}

bool job_scheduler::stopHasEnded(time_point stoppedBy, time_point askedAt) const
{
    return askedAt - stoppedBy >= m_options.maxStopTime * 1000 / (1000 - maxClockDriftPerMille);
}

// Runs without an assignment.

void job_scheduler::addOrphan(worker &worker, orphan_run orphan)
{
    if (orphan.demand)
        worker.used += *orphan.demand;
    else
        ++worker.unaccountedRuns;
    if (orphan.account)
        orphan.account->used += orphan.charged;
    worker.orphans.push_back(std::move(orphan));
}

void job_scheduler::removeOrphan(worker &worker, const orphan_run &orphan)
{
    if (orphan.account)
        orphan.account->used -= orphan.charged;
    if (!orphan.demand) {
        --worker.unaccountedRuns;
    } else {
        worker.used -= *orphan.demand;
        const auto name = task_name::parse(orphan.task);
        const auto found = m_remainingRuns.find(name->job);
        if (--found->second == 0) {
            m_remainingRuns.erase(found);
            m_withoutRemainingRuns.push_back(name->job);
        }
    }
}

void job_scheduler::removeOrphans(worker &worker)
{
    for (const auto &orphan : std::exchange(worker.orphans, {}))
        removeOrphan(worker, orphan);
}

bool job_scheduler::isCountedOrphan(const worker &worker, const active_run &run)
{
    return std::ranges::any_of(worker.orphans, [&run](const orphan_run &orphan) {
        return orphan.demand && orphan.attempt == run.attempt && orphan.task == run.task;
    });
}

bool job_scheduler::isAssigned(const worker &worker, const orphan_run &orphan)
{
    const auto name = task_name::parse(orphan.task);
    const auto *task = name ? find(*name) : nullptr;
    return task && task->assignedWorker == &worker && task->attempt == orphan.attempt
           && task->phase != task_phase::Recording;
}

void job_scheduler::restoreRemainingRuns(const std::string &id,
                                         const std::vector<remaining_run> &runs)
{
    if (runs.empty()) {
        m_withoutRemainingRuns.push_back(id);
        return;
    }
    m_remainingRuns[id] = runs.size();
    for (const auto &run : runs) {
        auto *account = run.workspace.empty() ? nullptr : &m_accounts.require(run.workspace);
        addOrphan(m_fleet.require(run.worker, m_previousLeaderLeaseEnd),
                  {run.task, run.attempt, run.demand, std::nullopt, account, run.charged});
    }
}

// An orphan holds its worker's capacity until its end is listed or a stop of it would have ended.
void job_scheduler::updateOrphans(worker &worker, const worker_report &report,
                                  const std::vector<unaccounted_run> &unaccounted,
                                  time_point askedAt, time_point now)
{
    const auto isIn = [](const auto &runs, const orphan_run &orphan) {
        return std::ranges::any_of(runs, [&orphan](const auto &run) {
            return run.attempt == orphan.attempt && run.task == orphan.task;
        });
    };
    for (auto &orphan : std::exchange(worker.orphans, {})) {
        const bool active = isIn(report.active, orphan);
        const bool settled = isIn(report.ended, orphan) || isAssigned(worker, orphan);
        const bool stopped = !active && !settled && !report.endsOmitted && orphan.missingSince
                             && stopHasEnded(*orphan.missingSince, askedAt);
        if (stopped)
            recordOrphanRelease(worker, orphan);
        if (settled || stopped) {
            removeOrphan(worker, orphan);
            continue;
        }
        orphan.missingSince =
            active ? std::nullopt : std::optional(orphan.missingSince.value_or(now));
        worker.orphans.push_back(std::move(orphan));
    }
    for (const auto &[run, cause] : unaccounted) {
        const orphan_run orphan {run->task, run->attempt, std::nullopt, std::nullopt, nullptr, {}};
        if (!isIn(worker.orphans, orphan))
            addOrphan(worker, orphan);
    }
}

void job_scheduler::recordOrphanRelease(const worker &worker, const orphan_run &orphan)
{
    ++m_accounting.releasedUnlisted;
    m_events.push_back({"run.released_unlisted",
                        orphan.task,
                        orphan.attempt,
                        worker.entry.id,
                        "missing from the worker report",
                        {}});
}

// Logged when the number of unaccounted runs changes, so that a run that takes long to stop is not
// logged with each report.
void job_scheduler::recordUnaccounted(const worker &worker, const worker_report &report,
                                      const std::vector<unaccounted_run> &runs, std::size_t before)
{
    const bool changed = worker.unaccountedRuns != before;
    for (const auto &[run, cause] : runs)
        ++m_accounting.unaccounted[static_cast<std::size_t>(cause)];
    if (!changed || runs.empty())
        return;
    std::string named;
    for (std::size_t i = 0; i < std::min(runs.size(), maxRunsNamed); ++i) {
        named += (named.empty() ? "" : ",") + runs[i].run->task + "#"
                 + std::to_string(runs[i].run->attempt) + ":"
                 + std::string(unaccountedCauseName(runs[i].cause));
    }
    scheduler_event event {"report.unaccounted_runs",
                           {},
                           0,
                           worker.entry.id,
                           "reported runs are not counted on their worker",
                           {}};
    event.fields.emplace_back("runs", std::move(named));
    event.fields.emplace_back("active", std::to_string(report.active.size()));
    event.fields.emplace_back("counted", std::to_string(worker.runs.size()));
    addCapacityFields(event, worker);
    m_events.push_back(std::move(event));
}

void job_scheduler::recordUnlistedRelease(const task_run &task, std::string_view reason)
{
    const bool atWork = task.startedAt != time_point {};
    if (!atWork)
        return;
    ++m_accounting.releasedUnlisted;
    recordEvent("run.released_unlisted", task, reason);
}

void job_scheduler::recordStartAccounting(const task_run &task)
{
    const auto &worker = *task.assignedWorker;
    if (worker.unaccountedRuns == 0)
        return;
    ++m_accounting.startsBesideUnaccounted;
    recordEvent("start.beside_unaccounted", task, "the worker reported runs that are not counted");
    addCapacityFields(m_events.back(), worker);
}

} // namespace plantaingap::jobs
