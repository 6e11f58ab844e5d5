#include "jobs/job_scheduler.h"

#include <array>

// Observes which kinds of tasks slow each other down on a worker.
namespace plantaingap::jobs {

namespace {

constexpr std::uint32_t completePercent = 100;
// Reports give whole percents; a shorter span would measure their rounding.
constexpr std::uint32_t minSpanPercent = 5;
// Runs load their data first.
constexpr milliseconds warmUp {250};
// Tails are those of the recent past, so a serving task is observed some time after its neighbours
// have changed, and after a takeover, when the time of its start is unknown.
constexpr milliseconds minServingSpan {1000};
constexpr milliseconds servingWarmUp {5000};
// Tails of one task that are closer together share its load. With it, three workers that have the
// other kind half of the time give the ten samples that a decision needs within a minute's
// evidence.
constexpr std::chrono::duration<double> servingSample {10};
// A run that makes no progress for this part of its expected duration stalls.
constexpr int stallDivisor = 20;
constexpr duration reviewInterval = std::chrono::seconds(1);
// Changes that are logged within a minute; the next line tells how many were left out.
constexpr std::size_t maxChangesLogged = 20;
constexpr duration logInterval = std::chrono::minutes(1);

bool isServing(const step_definition &step)
{
    return step.longRunning && step.latencyTarget.count() > 0;
}

} // namespace

std::string_view job_scheduler::interferenceKindOf(const step_run &step)
{
    if (!step.definition->image.empty())
        return step.definition->image;
    return step.occurrence->job->definition.queue;
}

bool job_scheduler::tellsInterference(const task_run &task, time_point now) const
{
    const auto &definition = *task.step->definition;
    if (task.phase != task_phase::Running || task.startedAt == time_point {})
        return false;
    if (isServing(definition))
        return task.percent == completePercent && now - task.firstReportAt >= servingWarmUp;
    // Other long-running tasks report no progress, best-effort tasks depend on all others, and
    // members of a gang on each other. Data on another rack slows a run too.
    if (definition.longRunning || definition.bestEffort || definition.gang
        || definition.estimate.count() == 0
        || (!definition.dataRack.empty() && task.assignedWorker->rack != definition.dataRack))
        return false;
    const auto stallLimit =
        std::max<duration>(m_options.stallTimeout, task.step->expectedDuration / stallDivisor);
    return task.fullRun && now - task.startedAt >= warmUp && now - task.progressAt <= stallLimit;
}

void job_scheduler::observeInterference(worker &worker, time_point now)
{
    if (!m_options.keepInterferingApart)
        return;
    // Of a worker that is slow, or on which unknown runs are at work, nothing is learned.
    const bool tells = !worker.speed.slow() && !worker.health.quarantined()
                       && worker.orphans.empty() && worker.unaccountedRuns == 0;
    kind_set present = 0;
    kind_set repeated = 0;
    std::vector<std::pair<task_run *, std::uint32_t>> runs;
    for (auto *task : worker.runs) {
        if (task->reportedAt != now)
            continue;
        const auto kind = m_interference.numberOf(interferenceKindOf(*task->step), now);
        if (!kind)
            continue;
        const auto bit = kind_set {1} << *kind;
        repeated |= present & bit;
        present |= bit;
        runs.emplace_back(task, *kind);
    }
    for (auto &[task, kind] : runs) {
        const auto bit = kind_set {1} << kind;
        const auto beside = (present & ~bit) | (repeated & bit);
        if (!tells || !tellsInterference(*task, now))
            task->window.restart();
        else
            observeRun(*task, kind, beside, now);
    }
}

void job_scheduler::observeRun(task_run &task, std::uint32_t kind, kind_set beside, time_point now)
{
    const auto &definition = *task.step->definition;
    const auto worker = std::uint64_t {task.assignedWorker->ref.number};
    const bool serving = isServing(definition);
    const auto joined = task.window.add(beside, task.percent, serving ? 0 : minSpanPercent,
                                        serving ? minServingSpan : milliseconds(1), now);
    if (!joined)
        return;
    const std::chrono::duration<double> span = joined->span;
    if (serving) {
        const std::chrono::duration<double, std::milli> target = definition.latencyTarget;
        if (task.measure > 0)
            m_interference.observe({kind, joined->beside, worker, task.measure / target.count(),
                                    std::min(span / servingSample, 1.0)},
                                   now);
        return;
    }
    const auto part = static_cast<double>(joined->gained) / completePercent;
    const std::chrono::duration<double> declared = definition.estimate;
    m_interference.observe(
        {kind, joined->beside, worker, span.count() / (declared.count() * part), part}, now);
}

void job_scheduler::reviewInterference(time_point now)
{
    if (!m_options.keepInterferingApart)
        return;
    if (now >= m_interferenceReviewAt) {
        m_interferenceReviewAt = now + reviewInterval;
        m_interference.review(now);
    }
    if (now >= m_interferenceLogUntil) {
        m_interferenceLogUntil = now + logInterval;
        m_interferenceLogged = 0;
    }
    for (const auto &change : m_interference.takeChanges()) {
        if (m_interferenceLogged >= maxChangesLogged) {
            ++m_interferenceLeftOut;
            continue;
        }
        ++m_interferenceLogged;
        const auto &estimate = change.estimate;
        m_events.push_back(
            {change.found ? "interference.found" : "interference.gone",
             {},
             0,
             {},
             change.found ? "the first kind is slower beside the second"
                          : "no longer slower, or too little recent evidence",
             {{"kind", change.kind},
              {"beside", change.beside},
              {"slow_down", std::to_string(estimate.slowDown)},
              {"standard_error", std::to_string(estimate.standardError)},
              {"samples", std::to_string(estimate.samples)},
              {"workers", std::to_string(estimate.workers)},
              {"left_out", std::to_string(std::exchange(m_interferenceLeftOut, 0))}}});
    }
}

} // namespace plantaingap::jobs
