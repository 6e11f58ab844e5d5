#include "jobs/admission.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// A job expected to end later than this many objectives after its arrival is refused. Results are
// useful until three objectives; the difference is a margin for errors of the estimate.
constexpr double maxCompletionFactor = 2.4;
// Range of the retry delay of refused jobs, in seconds.
constexpr double minRetrySeconds = 1;
constexpr double maxRetrySeconds = 8;

using core_milliseconds = double;

core_milliseconds waitingWork(const step_run &step)
{
    const auto &definition = *step.definition;
    if (definition.bestEffort || definition.longRunning)
        return 0;
    const double perTask = static_cast<double>(definition.demand.milliCores) / 1000.0
                           * static_cast<double>(step.expectedDuration.count());
    return perTask * static_cast<double>(step.waiting);
}

// Work placed before a job of that priority and latest start: steps that are still on time and have
// a higher priority or an earlier latest start. Late work yields to the job and is not counted.
core_milliseconds workAhead(const job_run &other, bool otherTopPriority, bool topPriority,
                            time_point latestStart, time_point now)
{
    if (other.state > job_state::Running || (topPriority && !otherTopPriority))
        return 0;
    core_milliseconds sum = 0;
    for (const auto &[number, occurrence] : other.occurrences) {
        for (const auto &step : occurrence.steps) {
            const bool late = now + step.remainingChain > step.onTimeUntil;
            const bool earlier = otherTopPriority != topPriority
                                 || step.onTimeUntil - step.remainingChain <= latestStart;
            if (!late && earlier)
                sum += waitingWork(step);
        }
    }
    return sum;
}

bool fitsAnyWorker(const step_definition &step, const fleet &workers)
{
    return std::ranges::any_of(workers.all(), [&](const auto &entry) {
        const auto &worker = *entry.second;
        return worker.listed && worker.hasLabel(step.label)
               && step.demand.fitsIn(worker.fullCapacity);
    });
}

// Expected duration of the longest chain of steps.
milliseconds longestChain(const job_definition &job, const duration_estimator &durations)
{
    std::vector<milliseconds> chainEnd(job.steps.size(), milliseconds(0));
    milliseconds longest {0};
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        for (const auto earlier : job.steps[i].after) {
            if (earlier < i)
                chainEnd[i] = std::max(chainEnd[i], chainEnd[earlier]);
        }
        chainEnd[i] += durations.estimate(job.queue, job.steps[i].estimate);
        longest = std::max(longest, chainEnd[i]);
    }
    return longest;
}

// Number of tasks of a step that the listed workers hold when they are empty and not shrunk.
double totalSlots(const step_definition &step, const fleet &workers)
{
    double slots = 0;
    for (const auto &[id, worker] : workers.all()) {
        if (!worker->listed || worker->entry.draining || !worker->hasLabel(step.label))
            continue;
        const auto fitting = tasksThatFit(effectiveDemand(step), worker->fullCapacity);
        slots += step.maxPerWorker > 0 ? std::min(fitting, step.maxPerWorker) : fitting;
    }
    return slots;
}

} // namespace

bool gangsFit(const job_definition &job, const fleet &workers, double share)
{
    // Without any worker nothing is known about the fleet.
    if (workers.capacity().milliCores == 0)
        return true;
    return std::ranges::none_of(job.steps, [&](const step_definition &step) {
        return step.gang && step.tasks > totalSlots(step, workers) * std::min(share, 1.0);
    });
}

std::optional<std::uint32_t>
admissionRetryDelay(const job_definition &job, const queue_definition &queue,
                    const std::set<std::string> &topPriorityQueues, const job_map &jobs,
                    const fleet &workers, const duration_estimator &durations, time_point now)
{
    const auto capacity = workers.capacity();
    if (capacity.milliCores == 0)
        return std::nullopt;
    for (const auto &step : job.steps) {
        if (!fitsAnyWorker(step, workers))
            return unsatisfiableRetrySeconds;
    }
    if (job.occurrences > 0)
        return std::nullopt;
    const auto chain = static_cast<double>(longestChain(job, durations).count());
    const auto objective = chain * queue.stretch + static_cast<double>(queue.slack.count());
    const auto latestStart = now
                             + std::chrono::duration_cast<duration>(
                                 std::chrono::duration<double, std::milli>(objective - chain));
    core_milliseconds ahead = 0;
    for (const auto &[id, other] : jobs) {
        const bool otherTopPriority = topPriorityQueues.contains(other->definition.queue);
        ahead += workAhead(*other, otherTopPriority, queue.priority == 0, latestStart, now);
    }
    const auto cores = static_cast<double>(capacity.milliCores) / 1000.0;
    const auto wait = ahead / cores;
    const auto maxCompletion = objective * maxCompletionFactor;
    if (wait + chain <= maxCompletion)
        return std::nullopt;
    const auto seconds = std::ceil((wait + chain - maxCompletion) / 1000.0);
    return static_cast<std::uint32_t>(std::clamp(seconds, minRetrySeconds, maxRetrySeconds));
}

} // namespace plantaingap::jobs
