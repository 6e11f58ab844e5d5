#include "decision/load_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaingap::decision {

namespace {

constexpr duration maxWindow = std::chrono::seconds(30);

} // namespace

void load_estimate::observe(double held, time_point now)
{
    const auto passed = std::max(duration {}, now - m_lastObservation);
    m_lastObservation = std::max(m_lastObservation, now);
    // Ignore the idle time before the first request.
    if (m_window == duration {} && held == 0)
        return;
    m_window = std::min(m_window + passed, maxWindow);
    if (m_window == duration {})
        return;
    const auto weight = static_cast<double>(passed.count()) / static_cast<double>(m_window.count());
    m_mean += std::min(1.0, weight) * (held - m_mean);
    m_meanSquare += std::min(1.0, weight) * (held * held - m_meanSquare);
}

double load_estimate::deviation() const
{
    return std::sqrt(std::max(0.0, m_meanSquare - m_mean * m_mean));
}

} // namespace plantaingap::decision
