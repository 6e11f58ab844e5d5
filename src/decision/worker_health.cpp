#include "decision/worker_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaingap::decision {

namespace {

// The share of requests that a broken worker fails.
constexpr double brokenRate = 0.9;
// Three failures in a row of a kind that seldom fails.
constexpr double enough = 9;
constexpr double assumedRate = 0.02;
constexpr double assumedWeight = 5;
constexpr double memory = 0.98;
constexpr std::size_t kindLimit = 16384;
constexpr duration firstPause = std::chrono::seconds(1);
constexpr duration longestPause = std::chrono::seconds(60);
constexpr int probesToReturn = 3;

} // namespace

void kind_failures::observe(kind_id kind, bool failed)
{
    if (m_kinds.size() >= kindLimit && !m_kinds.contains(kind))
        m_kinds.erase(m_kinds.begin());
    auto &seen = m_kinds[kind];
    seen.all = seen.all * memory + 1;
    seen.failed = seen.failed * memory + (failed ? 1 : 0);
}

double kind_failures::rate(kind_id kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return assumedRate;
    const auto &seen = found->second;
    return (seen.failed + assumedRate * assumedWeight) / (seen.all + assumedWeight);
}

void worker_health::observe(bool failed, double kindRate)
{
    const auto rate = std::clamp(kindRate, assumedRate / 2, brokenRate);
    const auto ratio = failed ? brokenRate / rate : (1 - brokenRate) / (1 - rate);
    m_evidence = std::max(0.0, m_evidence + std::log(ratio));
}

bool worker_health::suspect() const
{
    return m_evidence >= enough;
}

void worker_health::quarantine(time_point now)
{
    m_pause = m_quarantined ? std::min(2 * m_pause, longestPause) : firstPause;
    m_quarantined = true;
    m_probeAt = now + m_pause;
    m_answeredProbes = 0;
}

bool worker_health::probeAnswered()
{
    if (++m_answeredProbes < probesToReturn)
        return false;
    m_quarantined = false;
    m_evidence = 0;
    return true;
}

} // namespace plantaingap::decision
