#include "jobs/admission.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// A job that would end later than this many objectives after its arrival is refused: the span in
// which a late answer still has a use is three, less a reserve for what the estimate misses.
constexpr double maxCompletionFactor = 2.4;
// Callers of refused jobs come back after at least and at most this long.
constexpr double minRetrySeconds = 1;
constexpr double maxRetrySeconds = 8;
// No worker can ever hold a task of the job; only a change of the fleet helps.
constexpr std::uint32_t unsatisfiableRetrySeconds = 10;

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

// Work that is placed before a job of that rank: what is still on time, and more urgent or due
// earlier. Late work gives way and does not count.
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
               && step.demand.fitsIn(worker.entry.capacity);
    });
}

// The longest chain of steps, by what their tasks are expected to take.
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

} // namespace

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
