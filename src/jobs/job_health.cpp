#include "jobs/job_scheduler.h"

#include <algorithm>

// Derives the health and speed of workers from their runs: failures, hung runs and slow progress.
namespace plantaingap::jobs {

namespace {

constexpr std::uint32_t completePercent = 100;
// Upper limit for the baseline failure rate of a queue; a higher rate may be caused by the worker
// under test itself.
constexpr double maxBaselineFailureRate = 0.25;
// Min progress in percent for a speed observation.
constexpr std::uint32_t minProgressPercent = 10;
// A run on a slow worker is moved when its remaining time exceeds this multiple of the expected
// task duration, and at least this minimum.
constexpr double moveFactor = 1.5;
constexpr milliseconds minMoveGain {1000};
// A gang is moved only below this progress in percent, because the work of all members is lost.
constexpr std::uint32_t maxGangMovePercent = 40;
// Above this share of used cores no better worker is available.
constexpr double maxLoadForMove = 0.9;
// A long-running task at work for so long counts as a run that did not fail.
constexpr milliseconds longRunningProbe {1000};

} // namespace

std::string job_scheduler::kindOf(const step_run &step)
{
    if (!step.definition->image.empty())
        return step.definition->image;
    return step.occurrence->job->definition.id + '.' + std::to_string(step.number);
}

// Workers other than this one on which the task may run.
std::size_t job_scheduler::othersOfKind(const worker &worker, const task_run &task) const
{
    const auto &label = task.step->definition->label;
    return static_cast<std::size_t>(std::ranges::count_if(m_fleet.all(), [&](const auto &entry) {
        const auto &other = *entry.second;
        return &other != &worker && other.listed && other.entry.service == worker.entry.service
               && other.hasLabel(label);
    }));
}

void job_scheduler::updateHealth(worker &worker, const task_run &task, run_verdict verdict,
                                 time_point now)
{
    const bool failed = verdict != run_verdict::Sound;
    const auto &queue = task.step->occurrence->job->definition.queue;
    const auto number =
        m_queueKinds.try_emplace(queue, static_cast<std::uint32_t>(m_queueKinds.size()))
            .first->second;
    const kind_id kind {number};
    const auto baseline = std::min(m_failureRates.rate(kind), maxBaselineFailureRate);
    m_failureRates.observe(kind, failed);
    const auto taskKind = kindOf(*task.step);
    const bool failsElsewhere =
        failed
        && m_failingKinds.failsElsewhere(taskKind, worker.entry.id, othersOfKind(worker, task));
    // A run that did not start tells nothing about its kind.
    if (verdict != run_verdict::NotStarted)
        m_failingKinds.observe(taskKind, worker.entry.id, failed);
    // What also fails on other workers is no evidence against this one.
    if (failed && (failsElsewhere || task.failedAttempts.size() > 1))
        return;
    worker.health.observe(failed, baseline);
    if (worker.health.quarantined() && !failed) {
        if (worker.health.recordProbeSuccess())
            recordEvent("worker.quarantine_lifted", task, "probe runs succeeded");
    } else if (worker.health.quarantined()
               && (now < worker.health.probeAt()
                   || task.orderedAt < worker.health.quarantinedAt())) {
        // Started before the quarantine, or in spite of it, so it is no failed probe.
        return;
    } else if (worker.health.quarantined() || worker.health.isSuspect()) {
        recordEvent("worker.quarantined", task, "runs fail or hang on this worker");
        worker.health.quarantine(now);
    }
}

// A long-running task never ends as done, so its health counts once it is at work.
void job_scheduler::observeLongRunning(worker &worker, task_run &task, time_point now)
{
    if (task.speedObserved || task.percent < completePercent
        || now - task.startedAt < longRunningProbe)
        return;
    task.speedObserved = true;
    updateHealth(worker, task, run_verdict::Sound, now);
}

void job_scheduler::observeSpeed(worker &worker, task_run &task, time_point now)
{
    const auto &step = *task.step;
    const auto done = task.percent - std::min(task.firstPercent, task.percent);
    if (task.speedObserved || done < minProgressPercent || task.percent >= completePercent
        || step.definition->longRunning || step.definition->gang
        || step.definition->estimate.count() == 0) {
        return;
    }
    task.speedObserved = true;
    const std::chrono::duration<double> passed = now - task.firstReportAt;
    const std::chrono::duration<double> declared = step.definition->estimate;
    const auto factor = passed.count() / (declared.count() * done / completePercent);
    worker.speed.observe(m_durationErrors.observe(step.occurrence->job->definition.queue, factor));
}

bool job_scheduler::shouldMove(const worker &worker, const task_run &task, time_point now) const
{
    if (!worker.speed.slow())
        return false;
    const auto &definition = *task.step->definition;
    const auto left = expectedEnd(task) - now;
    const auto restartDuration =
        std::chrono::duration_cast<duration>(task.step->expectedDuration * moveFactor);
    if (left < std::max<duration>(restartDuration, minMoveGain))
        return false;
    return !definition.gang || task.percent < maxGangMovePercent;
}

// Stops runs that hang, or that are too slow on a slow worker, so that they restart elsewhere.
void job_scheduler::checkProgress(worker &worker, time_point now)
{
    const bool capacityElsewhere = m_fleetLoad < maxLoadForMove;
    std::vector<task_run *> movingRuns;
    for (auto *task : worker.runs) {
        const auto &definition = *task->step->definition;
        if (definition.longRunning && task->phase == task_phase::Running)
            observeLongRunning(worker, *task, now);
        if (task->phase != task_phase::Running || definition.longRunning
            || task->percent >= completePercent || task->reportedAt != now) {
            continue;
        }
        observeSpeed(worker, *task, now);
        const auto stallLimit =
            std::max<duration>(m_options.stallTimeout, task->step->expectedDuration / 2);
        const bool hung = now - task->progressAt > stallLimit;
        if (hung)
            updateHealth(worker, *task, run_verdict::Failed, now);
        const bool tooSlow = !hung && capacityElsewhere && shouldMove(worker, *task, now);
        if (!hung && !tooSlow)
            continue;
        recordEvent("run.moved", *task, hung ? "no progress" : "slow worker");
        recordRunEnd(*task, run_end_cause::Moved, now);
        movingRuns.push_back(task);
    }
    for (auto *task : movingRuns) {
        if (task->step->definition->gang)
            stopStep(*task->step, now);
        else
            stopRun(*task, now);
    }
}

} // namespace plantaingap::jobs
