#include "jobs/job_scheduler.h"

#include <algorithm>

// What the runs on a worker tell of it: failures, hanging and slowness.
namespace plantaingap::jobs {

namespace {

constexpr std::uint32_t wholePercent = 100;
// A kind's rate of failure above this may come from the very worker that is judged.
constexpr double maxBaselineFailureRate = 0.25;
// Progress from which a run's speed is told, in hundredths.
constexpr std::uint32_t minProgressPercent = 10;
// A run on a slow worker is moved when it would take this many times its declared time from now,
// and this long at least.
constexpr double moveFactor = 1.5;
constexpr milliseconds minMoveGain {1000};
// A gang loses the work of all members; it is moved only below this progress.
constexpr std::uint32_t maxGangMovePercent = 40;
// Above this share of used cores there is no better place to move to.
constexpr double maxLoadForMove = 0.9;

} // namespace

void job_scheduler::updateHealth(worker &worker, const task_run &task, bool failed, time_point now)
{
    const auto &queue = task.step->occurrence->job->definition.queue;
    const auto number =
        m_queueKinds.try_emplace(queue, static_cast<std::uint32_t>(m_queueKinds.size()))
            .first->second;
    const kind_id kind {number};
    const auto baseline = std::min(m_failureRates.rate(kind), maxBaselineFailureRate);
    m_failureRates.observe(kind, failed);
    // A task that failed elsewhere too tells of itself, not of the worker.
    if (failed && task.failedAttempts.size() > 1)
        return;
    worker.health.observe(failed, baseline);
    if (worker.health.quarantined() && !failed) {
        if (worker.health.probeAnswered())
            recordEvent("worker.trusted_again", task, "probes ended well");
    } else if (worker.health.quarantined() || worker.health.suspect()) {
        recordEvent("worker.set_aside", task, "fails or hangs what it is given");
        worker.health.quarantine(now);
    }
}

void job_scheduler::observeSpeed(worker &worker, task_run &task, time_point now)
{
    const auto &step = *task.step;
    const auto done = task.percent - std::min(task.firstPercent, task.percent);
    if (task.speedObserved || done < minProgressPercent || task.percent >= wholePercent
        || step.definition->longRunning || step.definition->gang
        || step.definition->estimate.count() == 0) {
        return;
    }
    task.speedObserved = true;
    const std::chrono::duration<double> passed = now - task.firstReportAt;
    const std::chrono::duration<double> declared = step.definition->estimate;
    const auto factor = passed.count() / (declared.count() * done / wholePercent);
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

// Runs that hang, or crawl on a slow worker, are stopped and begun elsewhere.
void job_scheduler::checkProgress(worker &worker, time_point now)
{
    const auto used = m_fleet.used();
    const auto capacity = m_fleet.capacity();
    const bool capacityElsewhere = static_cast<double>(used.milliCores)
                                   < maxLoadForMove * static_cast<double>(capacity.milliCores);
    std::vector<task_run *> movingRuns;
    for (auto *task : worker.runs) {
        const auto &definition = *task->step->definition;
        if (task->phase != task_phase::Running || definition.longRunning
            || task->percent >= wholePercent || task->reportedAt != now) {
            continue;
        }
        observeSpeed(worker, *task, now);
        const auto stallLimit =
            std::max<duration>(m_options.stallTimeout, task->step->expectedDuration / 2);
        const bool hung = now - task->progressAt > stallLimit;
        if (hung)
            updateHealth(worker, *task, true, now);
        const bool tooSlow = !hung && capacityElsewhere && shouldMove(worker, *task, now);
        if (!hung && !tooSlow)
            continue;
        recordEvent("run.moved", *task, hung ? "no progress" : "slow worker");
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
