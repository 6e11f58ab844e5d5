#include "decision/worker_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaingap::decision {

namespace {

// Fraction of requests that a broken worker fails.
constexpr double brokenFailureRate = 0.9;
// Log likelihood ratio that starts a quarantine; reached by three consecutive failures of a kind
// that rarely fails.
constexpr double quarantineEvidence = 9;
// Failure rate of a kind without observations, and its weight in observed requests.
constexpr double priorFailureRate = 0.02;
constexpr double priorWeight = 5;
// Each observation multiplies the weight of the earlier ones by this factor.
constexpr double observationDecay = 0.98;
constexpr std::size_t kindLimit = 16384;
constexpr duration minProbeInterval = std::chrono::seconds(1);
constexpr duration maxProbeInterval = std::chrono::seconds(60);
// Consecutive successful probes that end a quarantine.
constexpr int requiredProbes = 3;

} // namespace

void kind_failures::observe(kind_id kind, bool failed)
{
    if (m_countsByKind.size() >= kindLimit && !m_countsByKind.contains(kind))
        m_countsByKind.erase(m_countsByKind.begin());
    auto &counts = m_countsByKind[kind];
    counts.total = counts.total * observationDecay + 1;
    counts.failed = counts.failed * observationDecay + (failed ? 1 : 0);
}

double kind_failures::rate(kind_id kind) const
{
    const auto it = m_countsByKind.find(kind);
    if (it == m_countsByKind.end())
        return priorFailureRate;
    const auto &counts = it->second;
    return (counts.failed + priorFailureRate * priorWeight) / (counts.total + priorWeight);
}

void worker_health::observe(bool failed, double kindRate)
{
    const auto rate = std::clamp(kindRate, priorFailureRate / 2, brokenFailureRate);
    const auto likelihoodRatio =
        failed ? brokenFailureRate / rate : (1 - brokenFailureRate) / (1 - rate);
    m_evidence = std::max(0.0, m_evidence + std::log(likelihoodRatio));
}

bool worker_health::isSuspect() const
{
    return m_evidence >= quarantineEvidence;
}

void worker_health::quarantine(time_point now)
{
    m_probeInterval =
        m_quarantined ? std::min(2 * m_probeInterval, maxProbeInterval) : minProbeInterval;
    m_quarantined = true;
    m_probeAt = now + m_probeInterval;
    m_successfulProbes = 0;
}

bool worker_health::recordProbeSuccess()
{
    if (++m_successfulProbes < requiredProbes)
        return false;
    m_quarantined = false;
    m_evidence = 0;
    return true;
}

} // namespace plantaingap::decision
