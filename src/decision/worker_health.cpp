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
// Workers on which the last outcome of a failing kind is kept.
constexpr std::size_t maxWorkersPerKind = 32;
// A kind that fails on so many other workers may fail everywhere.
constexpr std::ptrdiff_t minFailingWorkers = 2;
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

void failing_kinds::observe(const std::string &kind, const std::string &worker, bool failed)
{
    auto it = m_outcomesByKind.find(kind);
    if (it == m_outcomesByKind.end()) {
        if (!failed)
            return;
        if (m_outcomesByKind.size() >= kindLimit)
            m_outcomesByKind.erase(m_outcomesByKind.begin());
        it = m_outcomesByKind.try_emplace(kind).first;
    }
    auto &last = it->second;
    std::erase_if(last, [&](const last_outcome &outcome) { return outcome.worker == worker; });
    if (last.size() >= maxWorkersPerKind)
        last.erase(last.begin());
    last.push_back({worker, failed});
    if (std::ranges::none_of(last, &last_outcome::failed))
        m_outcomesByKind.erase(it);
}

bool failing_kinds::failsElsewhere(const std::string &kind, const std::string &worker,
                                   std::size_t others) const
{
    const auto it = m_outcomesByKind.find(kind);
    if (it == m_outcomesByKind.end())
        return false;
    const auto count = [&](bool failed) {
        return std::ranges::count_if(it->second, [&](const last_outcome &last) {
            return last.worker != worker && last.failed == failed;
        });
    };
    const auto failing = count(true);
    const auto required =
        std::clamp<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(others), 1, minFailingWorkers);
    return failing >= required && failing > count(false);
}

bool failing_kinds::mostlyFails(const std::string &kind) const
{
    const auto it = m_outcomesByKind.find(kind);
    if (it == m_outcomesByKind.end())
        return false;
    const auto failing = std::ranges::count_if(it->second, &last_outcome::failed);
    return 2 * failing > static_cast<std::ptrdiff_t>(it->second.size());
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
    if (!m_quarantined)
        m_quarantinedAt = now;
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
