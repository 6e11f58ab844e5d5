#include "jobs/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

constexpr double usualWeight = 0.01;
constexpr double smallestVariance = 0.04;
// Part of the older evidence that stays when a run is added: some eight runs count.
constexpr double memory = 0.88;
// Faster zones differ by a third; a worker that is slower than that by far has a fault.
constexpr double slowFactor = 2.5;
// Standard errors between a worker's mean and the slow factor's side of chance.
constexpr double certainty = 5.0;
// One run counts for no more than this, so that a single wild declaration proves little.
constexpr double largestFactor = 30;

} // namespace

relative_time declared_duration_errors::observe(const std::string &queue, double factor)
{
    const auto log = std::log(std::clamp(factor, 1 / largestFactor, largestFactor));
    auto &usual = m_usual[queue];
    const auto off = log - usual.mean;
    const relative_time told {off, std::max(usual.variance, smallestVariance)};
    usual.mean += off * usualWeight;
    usual.variance += (off * off - usual.variance) * usualWeight;
    return told;
}

void worker_speed::observe(const relative_time &run)
{
    m_sum = m_sum * memory + run.log / run.variance;
    m_weight = m_weight * memory + 1 / run.variance;
}

bool worker_speed::slow() const
{
    if (m_weight <= 0)
        return false;
    const auto mean = m_sum / m_weight;
    return mean > std::log(slowFactor) && mean * std::sqrt(m_weight) > certainty;
}

} // namespace plantaingap::jobs
