#include "jobs/admission.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// A job expected to end later than this many objectives after its arrival is refused. Results are
// useful until three objectives; the difference is a margin for errors of the estimate.
constexpr double maxCompletionFactor = 2.4;
// The bound while gangs wait that are placed before those of the job: one that is late would delay
// others that can be on time, and a backlog must be short enough to be served.
constexpr double maxCompletionBehindGangs = 1.5;
// Range of the retry delay of refused jobs, in seconds.
constexpr double minRetrySeconds = 1;
constexpr double maxRetrySeconds = 8;

bool fitsAnyWorker(const step_definition &step, const fleet &workers)
{
    return std::ranges::any_of(workers.all(), [&](const auto &entry) {
        const auto &worker = *entry.second;
        return worker.listed && worker.hasLabel(step.label)
               && step.demand.fitsIn(worker.fullCapacity);
    });
}

// Whether that share of the listed workers holds all members of a gang when they are empty and not
// shrunk.
bool fitsShare(const step_definition &gang, const fleet &workers, double share)
{
    double slots = 0;
    for (const auto &[id, worker] : workers.all()) {
        if (!worker->listed || worker->entry.draining || !worker->hasLabel(gang.label))
            continue;
        const auto fitting = tasksThatFit(effectiveDemand(gang), worker->fullCapacity);
        slots += gang.maxPerWorker > 0 ? std::min(fitting, gang.maxPerWorker) : fitting;
        if (gang.tasks <= slots * share)
            return true;
    }
    return gang.tasks <= slots * share;
}

// Without any worker nothing is known about the fleet.
bool hasWorkers(const fleet &workers)
{
    return std::ranges::any_of(workers.all(), [](const auto &entry) {
        const auto &worker = *entry.second;
        return worker.listed && !worker.entry.draining && worker.entry.capacity.milliCores > 0;
    });
}

} // namespace

bool gangsFit(const job_definition &job, const fleet &workers, double share)
{
    if (!hasWorkers(workers))
        return true;
    return std::ranges::all_of(job.steps, [&](const step_definition &step) {
        return !step.gang || fitsShare(step, workers, std::min(share, 1.0));
    });
}

admission_decision decideAdmission(const job_definition &job, const queue_definition &queue,
                                   const estimate_inputs &inputs)
{
    admission_decision decision;
    if (!hasWorkers(inputs.workers))
        return decision;
    for (const auto &step : job.steps) {
        if (!fitsAnyWorker(step, inputs.workers)) {
            decision.retryAfterSeconds = unsatisfiableRetrySeconds;
            return decision;
        }
    }
    if (job.occurrences > 0)
        return decision;
    decision.estimate = estimateJob(job, queue, inputs);
    const auto objective = static_cast<double>(decision.estimate.objective.count());
    const bool behindGangs =
        decision.estimate.gangsAhead > 0 && std::ranges::any_of(job.steps, &step_definition::gang);
    const auto factor = behindGangs ? maxCompletionBehindGangs : maxCompletionFactor;
    decision.latestEnd = milliseconds(std::llround(objective * factor));
    if (decision.estimate.end > decision.latestEnd) {
        const std::chrono::duration<double> excess = decision.estimate.end - decision.latestEnd;
        decision.retryAfterSeconds = static_cast<std::uint32_t>(
            std::clamp(std::ceil(excess.count()), minRetrySeconds, maxRetrySeconds));
    }
    return decision;
}

} // namespace plantaingap::jobs
