#include "jobs/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

constexpr double queueSmoothing = 0.01;
constexpr double minVariance = 0.04;
// Factor on the weight of older runs at each new run; the effective sample is about eight runs.
constexpr double decay = 0.88;
// Data centres differ in speed by about a third; a worker slower than this factor is faulty.
constexpr double slowFactor = 2.5;
// Min number of standard errors by which the mean must exceed zero.
constexpr double minStandardErrors = 5.0;
// Limits the ratio of one run, so that a single inaccurate declaration has little weight.
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
