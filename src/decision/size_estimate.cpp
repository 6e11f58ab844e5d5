#include "decision/size_estimate.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::decision {

namespace {

// Weight of the declaration against requests seen of the kind; it falls as more are seen.
constexpr double declarationWeight = 2;
// Weight of the kind's past against requests seen of the kind and caller.
constexpr double kindWeight = 4;
// A class is too short for a kind when more than this share of its requests took longer.
constexpr double tolerated = 0.2;
// Each request seen takes this part from the weight of those before it.
constexpr double forgottenPerSample = 0.02;
constexpr auto halfLife = std::chrono::minutes(10);
constexpr std::size_t pairLimit = 65536;
constexpr std::size_t kindLimit = 16384;
constexpr std::size_t callerLimit = 65536;
// Quick requests at once before the first one was seen to end.
constexpr double firstWindow = 4;
constexpr double windowPerSample = 3;

constexpr std::size_t at(work_class name)
{
    return static_cast<std::size_t>(name);
}

} // namespace

size_estimate::size_estimate(const request_limits &limits)
    : m_quickAtMost(limits.quickAtMost)
    , m_normalAtMost(limits.normalAtMost)
{ }

void size_estimate::history::add(work_class observed, double weight, time_point now)
{
    const auto age = std::chrono::duration<double>(now - at) / halfLife;
    const auto kept = std::exp2(-std::max(0.0, age)) * (1 - forgottenPerSample * weight);
    for (auto &count : seen)
        count *= kept;
    seen[decision::at(observed)] += weight;
    at = now;
}

work_class size_estimate::judge(const class_counts &counts)
{
    const auto bound = tolerated * (counts[0] + counts[1] + counts[2]);
    if (counts[2] > bound)
        return work_class::Long;
    if (counts[1] + counts[2] > bound)
        return work_class::Normal;
    return work_class::Quick;
}

work_class size_estimate::classOf(duration served) const
{
    if (served <= m_quickAtMost)
        return work_class::Quick;
    return served <= m_normalAtMost ? work_class::Normal : work_class::Long;
}

work_class size_estimate::classify(kind_id kind, caller_id caller, work_class declared) const
{
    auto counts = expect(kind, caller, declared);
    // A caller's few requests are judged together with what others' requests of the kind took, so
    // that one request out of the ordinary does not change its class.
    const auto own = m_pairs.find({kind, caller});
    if (own == m_pairs.end())
        return judge(counts);
    const auto whole = counts[0] + counts[1] + counts[2];
    for (std::size_t each = 0; each < counts.size(); ++each)
        counts[each] = counts[each] / whole * kindWeight + own->second.past.seen[each];
    return judge(counts);
}

size_estimate::class_counts size_estimate::expect(kind_id kind, caller_id caller,
                                                  work_class declared) const
{
    class_counts counts {};
    const auto common = m_kinds.find(kind);
    if (common == m_kinds.end()) {
        counts[at(distrust(caller, declared))] = 1;
        return counts;
    }
    counts = common->second.seen;
    counts[at(declared)] += declarationWeight / (1 + common->second.total());
    return counts;
}

void size_estimate::observe(kind_id kind, caller_id caller, work_class declared, work_class seen,
                            time_point now)
{
    auto &own = remember({kind, caller});
    own.add(seen, 1, now);
    // A caller speaks for the kind with its first requests; the more it sends, the less each
    // counts, so that one caller cannot change the class of the others' requests.
    if (m_kinds.size() < kindLimit || m_kinds.contains(kind))
        m_kinds[kind].add(seen, 1 / std::max(1.0, own.total()), now);
    judgeCaller(caller, declared, seen);
}

std::uint32_t size_estimate::quickWindow(kind_id kind, caller_id caller) const
{
    const auto own = m_pairs.find({kind, caller});
    const auto seen = own == m_pairs.end() ? 0.0 : own->second.past.seen[0];
    return static_cast<std::uint32_t>(firstWindow + windowPerSample * seen);
}

size_estimate::history &size_estimate::remember(const kind_caller &key)
{
    const auto found = m_pairs.find(key);
    if (found != m_pairs.end()) {
        m_recency.splice(m_recency.end(), m_recency, found->second.recency);
        return found->second.past;
    }
    if (m_pairs.size() >= pairLimit) {
        m_pairs.erase(m_recency.front());
        m_recency.pop_front();
    }
    m_recency.push_back(key);
    return m_pairs.emplace(key, pair_entry {{}, std::prev(m_recency.end())}).first->second.past;
}

// A kind that nobody sent before is believed as far as its caller's other declarations held.
work_class size_estimate::distrust(caller_id caller, work_class declared) const
{
    const auto found = m_callers.find(caller);
    if (found == m_callers.end() || declared == work_class::Long)
        return declared;
    const auto &past = found->second;
    if (past.understated <= tolerated * (past.declarations + declarationWeight))
        return declared;
    return declared == work_class::Quick ? work_class::Normal : work_class::Long;
}

void size_estimate::judgeCaller(caller_id caller, work_class declared, work_class seen)
{
    if (caller == caller_id {})
        return;
    if (m_callers.size() >= callerLimit && !m_callers.contains(caller))
        m_callers.erase(m_callers.begin());
    auto &past = m_callers[caller];
    past.declarations = past.declarations * (1 - forgottenPerSample) + 1;
    past.understated = past.understated * (1 - forgottenPerSample) + (seen > declared ? 1 : 0);
}

} // namespace plantaingap::decision
