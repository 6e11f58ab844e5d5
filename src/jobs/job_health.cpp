#include "jobs/job_scheduler.h"

#include <algorithm>

// What the runs on a worker tell of it: failures, hanging and slowness.
namespace plantaingap::jobs {

namespace {

constexpr std::uint32_t wholePercent = 100;
// A kind's rate of failure above this may come from the very worker that is judged.
constexpr double highestUsualRate = 0.25;
// Progress from which a run's speed is told, in hundredths.
constexpr std::uint32_t tellingPercent = 10;
// A run on a slow worker is moved when it would take this many times its declared time from now,
// and this long at least.
constexpr double movingFactor = 1.5;
constexpr milliseconds movingGain {1000};
// A gang loses the work of all members; it is moved only below this progress.
constexpr std::uint32_t gangMovingPercent = 40;
// Above this share of used cores there is no better place to move to.
constexpr double movingLoad = 0.9;

} // namespace

void job_scheduler::judge(worker &at, const task_run &task, bool failed, time_point now)
{
    const auto &queue = task.step->occurrence->job->definition.queue;
    const auto number =
        m_kinds.try_emplace(queue, static_cast<std::uint32_t>(m_kinds.size())).first->second;
    const kind_id kind {number};
    const auto usual = std::min(m_failures.rate(kind), highestUsualRate);
    m_failures.observe(kind, failed);
    // A task that failed elsewhere too tells of itself, not of the worker.
    if (failed && task.failedAttempts.size() > 1)
        return;
    at.health.observe(failed, usual);
    if (at.health.quarantined() && !failed) {
        if (at.health.recordProbeSuccess())
            note("worker.trusted_again", task, "probes ended well");
    } else if (at.health.quarantined() || at.health.isSuspect()) {
        note("worker.set_aside", task, "fails or hangs what it is given");
        at.health.quarantine(now);
    }
}

void job_scheduler::observeSpeed(worker &at, task_run &task, time_point now)
{
    const auto &step = *task.step;
    const auto done = task.percent - std::min(task.firstPercent, task.percent);
    if (task.speedTold || done < tellingPercent || task.percent >= wholePercent
        || step.definition->lasting || step.definition->gang
        || step.definition->estimate.count() == 0) {
        return;
    }
    task.speedTold = true;
    const std::chrono::duration<double> passed = now - task.firstReportAt;
    const std::chrono::duration<double> declared = step.definition->estimate;
    const auto factor = passed.count() / (declared.count() * done / wholePercent);
    at.speed.observe(m_times.observe(step.occurrence->job->definition.queue, factor));
}

bool job_scheduler::worthMoving(const worker &at, const task_run &task, time_point now) const
{
    if (!at.speed.slow())
        return false;
    const auto &definition = *task.step->definition;
    const auto left = expectedEnd(task) - now;
    const auto usual = std::chrono::duration_cast<duration>(task.step->expected * movingFactor);
    if (left < std::max<duration>(usual, movingGain))
        return false;
    return !definition.gang || task.percent < gangMovingPercent;
}

// Runs that hang, or crawl on a slow worker, are stopped and begun elsewhere.
void job_scheduler::watchProgress(worker &at, time_point now)
{
    const auto used = m_fleet.used();
    const auto capacity = m_fleet.capacity();
    const bool roomElsewhere = static_cast<double>(used.milliCores)
                               < movingLoad * static_cast<double>(capacity.milliCores);
    std::vector<task_run *> leaving;
    for (auto *task : at.runs) {
        const auto &definition = *task->step->definition;
        if (task->phase != task_phase::Running || definition.lasting
            || task->percent >= wholePercent || task->reportedAt != now) {
            continue;
        }
        observeSpeed(at, *task, now);
        const auto patience = std::max<duration>(m_options.stalled, task->step->expected / 2);
        const bool hangs = now - task->progressAt > patience;
        if (hangs)
            judge(at, *task, true, now);
        const bool crawls = !hangs && roomElsewhere && worthMoving(at, *task, now);
        if (!hangs && !crawls)
            continue;
        note("run.moved", *task, hangs ? "no progress" : "slow worker");
        leaving.push_back(task);
    }
    for (auto *task : leaving) {
        if (task->step->definition->gang)
            stopStep(*task->step, now);
        else
            stopRun(*task, now);
    }
}

} // namespace plantaingap::jobs
