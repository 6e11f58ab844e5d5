#include "decision/load_level.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaingap::decision {

namespace {

constexpr duration observationTime = std::chrono::seconds(30);

} // namespace

void load_level::observe(double held, time_point now)
{
    const auto passed = std::max(duration {}, now - m_observedAt);
    m_observedAt = std::max(m_observedAt, now);
    // The time before the first request says nothing.
    if (m_observed == duration {} && held == 0)
        return;
    m_observed = std::min(m_observed + passed, observationTime);
    if (m_observed == duration {})
        return;
    const auto weight =
        static_cast<double>(passed.count()) / static_cast<double>(m_observed.count());
    m_mean += std::min(1.0, weight) * (held - m_mean);
    m_square += std::min(1.0, weight) * (held * held - m_square);
}

double load_level::deviation() const
{
    return std::sqrt(std::max(0.0, m_square - m_mean * m_mean));
}

} // namespace plantaingap::decision
