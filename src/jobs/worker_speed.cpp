#include "jobs/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

constexpr double queueSmoothing = 0.01;
constexpr double minVariance = 0.04;
// Part of the older evidence that stays when a run is added: some eight runs count.
constexpr double decay = 0.88;
// Faster zones differ by a third; a worker that is slower than that by far has a fault.
constexpr double slowFactor = 2.5;
// Standard errors between a worker's mean and the slow factor's side of chance.
constexpr double minStandardErrors = 5.0;
// One run counts for no more than this, so that a single wild declaration proves little.
constexpr double maxFactor = 30;

} // namespace

relative_duration declared_duration_errors::observe(const std::string &queue, double factor)
{
    const auto logRatio = std::log(std::clamp(factor, 1 / maxFactor, maxFactor));
    auto &queueErrors = m_queues[queue];
    const auto deviation = logRatio - queueErrors.mean;
    const relative_duration sample {deviation, std::max(queueErrors.variance, minVariance)};
    queueErrors.mean += deviation * queueSmoothing;
    queueErrors.variance += (deviation * deviation - queueErrors.variance) * queueSmoothing;
    return sample;
}

void worker_speed::observe(const relative_duration &run)
{
    m_sum = m_sum * decay + run.logRatio / run.variance;
    m_weight = m_weight * decay + 1 / run.variance;
}

bool worker_speed::slow() const
{
    if (m_weight <= 0)
        return false;
    const auto mean = m_sum / m_weight;
    return mean > std::log(slowFactor) && mean * std::sqrt(m_weight) > minStandardErrors;
}

} // namespace plantaingap::jobs
