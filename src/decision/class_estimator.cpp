#include "decision/class_estimator.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::decision {

namespace {

// Weight of the declared class, in observed requests of the kind; decreases as more are observed.
constexpr double declaredWeight = 2;
// Weight of the kind's history, in observed requests of the kind and caller.
constexpr double kindPriorWeight = 4;
// The estimate is the shortest class that at most this fraction of the observed requests exceeded.
// A caller's declaration is corrected when it understated more than this fraction of its requests.
constexpr double toleratedFraction = 0.2;
// Each observed request reduces the weight of the earlier ones by this fraction.
constexpr double decayPerSample = 0.02;
constexpr auto halfLife = std::chrono::minutes(10);
constexpr std::size_t pairLimit = 65536;
constexpr std::size_t kindLimit = 16384;
constexpr std::size_t callerLimit = 65536;
// Limit of open quick requests before the first one has been observed.
constexpr double initialQuickLimit = 4;
constexpr double quickLimitPerSample = 3;

constexpr std::size_t classIndex(work_class workClass)
{
    return static_cast<std::size_t>(workClass);
}

} // namespace

class_estimator::class_estimator(const request_limits &limits)
    : m_quickMaxDuration(limits.quickMaxDuration)
    , m_normalMaxDuration(limits.normalMaxDuration)
{ }

void class_estimator::history::add(work_class observed, double weight, time_point now)
{
    const auto age = std::chrono::duration<double>(now - updatedAt) / halfLife;
    const auto decay = std::exp2(-std::max(0.0, age)) * (1 - decayPerSample * weight);
    for (auto &count : counts)
        count *= decay;
    counts[decision::classIndex(observed)] += weight;
    updatedAt = now;
}

work_class class_estimator::classFromCounts(const class_counts &counts)
{
    const auto bound = toleratedFraction * (counts[0] + counts[1] + counts[2]);
    if (counts[2] > bound)
        return work_class::Long;
    if (counts[1] + counts[2] > bound)
        return work_class::Normal;
    return work_class::Quick;
}

work_class class_estimator::classOf(duration held) const
{
    if (held <= m_quickMaxDuration)
        return work_class::Quick;
    return held <= m_normalMaxDuration ? work_class::Normal : work_class::Long;
}

work_class class_estimator::classify(kind_id kind, caller_id caller, work_class declared) const
{
    auto counts = expectedCounts(kind, caller, declared);
    // Combine the few requests of a caller with the history of the kind, so that one outlier does
    // not change the class.
    const auto pair = m_pairs.find({kind, caller});
    if (pair == m_pairs.end())
        return classFromCounts(counts);
    const auto total = counts[0] + counts[1] + counts[2];
    for (std::size_t index = 0; index < counts.size(); ++index)
        counts[index] =
            counts[index] / total * kindPriorWeight + pair->second.observations.counts[index];
    return classFromCounts(counts);
}

class_estimator::class_counts class_estimator::expectedCounts(kind_id kind, caller_id caller,
                                                              work_class declared) const
{
    class_counts counts {};
    const auto kindHistory = m_kinds.find(kind);
    if (kindHistory == m_kinds.end()) {
        counts[classIndex(correctDeclaration(caller, declared))] = 1;
        return counts;
    }
    counts = kindHistory->second.counts;
    counts[classIndex(declared)] += declaredWeight / (1 + kindHistory->second.total());
    return counts;
}

void class_estimator::observe(kind_id kind, caller_id caller, work_class declared,
                              work_class observed, time_point now)
{
    auto &pair = findOrAddPair({kind, caller});
    pair.add(observed, 1, now);
    // The weight of each request in the history of the kind decreases with the number that its
    // caller sends, so that one caller cannot change the class of other callers' requests.
    if (m_kinds.size() < kindLimit || m_kinds.contains(kind))
        m_kinds[kind].add(observed, 1 / std::max(1.0, pair.total()), now);
    recordDeclaration(caller, declared, observed);
}

std::uint32_t class_estimator::quickLimit(kind_id kind, caller_id caller) const
{
    const auto pair = m_pairs.find({kind, caller});
    const auto observed = pair == m_pairs.end() ? 0.0 : pair->second.observations.counts[0];
    return static_cast<std::uint32_t>(initialQuickLimit + quickLimitPerSample * observed);
}

class_estimator::history &class_estimator::findOrAddPair(const kind_caller &key)
{
    const auto it = m_pairs.find(key);
    if (it != m_pairs.end()) {
        m_recency.splice(m_recency.end(), m_recency, it->second.recency);
        return it->second.observations;
    }
    if (m_pairs.size() >= pairLimit) {
        m_pairs.erase(m_recency.front());
        m_recency.pop_front();
    }
    m_recency.push_back(key);
    return m_pairs.emplace(key, pair_entry {{}, std::prev(m_recency.end())})
        .first->second.observations;
}

// The class of an unknown kind: the declared one, or the next longer one if the caller has often
// understated the class of its requests.
work_class class_estimator::correctDeclaration(caller_id caller, work_class declared) const
{
    const auto it = m_callers.find(caller);
    if (it == m_callers.end() || declared == work_class::Long)
        return declared;
    const auto &record = it->second;
    if (record.understated <= toleratedFraction * (record.total + declaredWeight))
        return declared;
    return declared == work_class::Quick ? work_class::Normal : work_class::Long;
}

void class_estimator::recordDeclaration(caller_id caller, work_class declared, work_class observed)
{
    if (caller == caller_id {})
        return;
    if (m_callers.size() >= callerLimit && !m_callers.contains(caller))
        m_callers.erase(m_callers.begin());
    auto &record = m_callers[caller];
    record.total = record.total * (1 - decayPerSample) + 1;
    record.understated = record.understated * (1 - decayPerSample) + (observed > declared ? 1 : 0);
}

} // namespace plantaingap::decision
