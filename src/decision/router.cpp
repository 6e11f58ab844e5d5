#include "decision/router.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plantaingap::decision {

namespace {

// Service time assumed per class for groups that report none.
constexpr std::array<duration, 3> defaultServiceTime = {
    std::chrono::milliseconds(50), std::chrono::seconds(1), std::chrono::seconds(10)};

// The finalizer of splitmix64: flipping an input bit flips about half of the output bits.
constexpr std::uint64_t mix64(std::uint64_t bits)
{
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
    return bits ^ (bits >> 31);
}

} // namespace

router::router(const router_limits &limits, std::uint64_t seed)
    : m_limits(limits)
    , m_retries(limits.retryRatio, limits.retryBurst)
    , m_random(seed)
{ }

void router::updateSummary(const group_summary &summary)
{
    auto &state = m_services[summary.service][summary.group];
    if (summary.receivedAt < state.summary.receivedAt)
        return;
    state.summary = summary;
    state.forwarded = {};
}

void router::removeGroup(group_id group)
{
    for (auto &[service, groups] : m_services)
        groups.erase(group);
}

void router::markSuspected(instance_id owner)
{
    m_suspected.insert(owner);
}

void router::clearSuspicion(instance_id owner)
{
    m_suspected.erase(owner);
}

std::optional<route> router::choose(service_id service, work_class workClass, time_point now)
{
    m_retries.earn();
    return chooseExcluding(service, workClass, std::nullopt, now);
}

std::optional<route> router::chooseAlternative(service_id service, work_class workClass,
                                               group_id refusedBy, time_point now)
{
    // Choose first, so that a request without an alternative spends no retry token.
    const auto other = chooseExcluding(service, workClass, refusedBy, now);
    if (!other || !m_retries.trySpend())
        return std::nullopt;
    return other;
}

std::optional<route> router::chooseForKey(service_id service, std::uint64_t keyHash,
                                          std::span<const group_id> groups, time_point now) const
{
    if (groups.empty())
        return std::nullopt;
    const auto weight = [&](group_id group) {
        return std::pair(mix64(keyHash ^ mix64(number(group) + 1ULL)), group);
    };
    const auto group = *std::ranges::max_element(groups, {}, weight);
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    const auto groupIt = it->second.find(group);
    if (groupIt == it->second.end() || !usable(groupIt->second, now))
        return std::nullopt;
    return route {group, groupIt->second.summary.owner};
}

void router::recordForwarded(group_id group, service_id service, work_class workClass,
                             time_point now)
{
    auto &state = m_services[service][group];
    decayForwarded(state, now);
    state.forwarded[static_cast<std::size_t>(workClass)] += 1;
}

duration router::serviceTime(const group_state &state, std::size_t workClass)
{
    const auto reported = state.summary.serviceTime[workClass];
    return reported > duration {} ? reported : defaultServiceTime[workClass];
}

void router::decayForwarded(group_state &state, time_point now)
{
    const auto passed = std::max(duration {}, now - state.forwardedAt);
    for (std::size_t workClass = 0; workClass < state.forwarded.size(); ++workClass) {
        const auto elapsed = static_cast<double>(passed.count())
                             / static_cast<double>(serviceTime(state, workClass).count());
        state.forwarded[workClass] *= std::exp(-elapsed);
    }
    state.forwardedAt = now;
}

bool router::usable(const group_state &state, time_point now) const
{
    const auto &summary = state.summary;
    return summary.slots > 0 && now - summary.receivedAt <= m_limits.maxSummaryAge
           && !m_suspected.contains(summary.owner);
}

std::optional<route> router::chooseExcluding(service_id service, work_class workClass,
                                             std::optional<group_id> excluded, time_point now)
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    m_local.clear();
    m_remote.clear();
    for (auto &[group, state] : it->second) {
        if (group == excluded || !usable(state, now))
            continue;
        decayForwarded(state, now);
        auto &candidates = state.summary.region == m_limits.region ? m_local : m_remote;
        candidates.push_back(&state);
    }
    const auto *local = chooseOfTwo(m_local, workClass);
    // Remote groups cost at least crossRegionCost, so a local group that costs no more is chosen
    // without comparing them.
    const bool stayLocal = local && expectedWait(*local, workClass) <= m_limits.crossRegionCost;
    const auto *best =
        stayLocal ? local : cheaper(local, chooseOfTwo(m_remote, workClass), workClass);
    if (!best)
        return std::nullopt;
    return route {best->summary.group, best->summary.owner};
}

const router::group_state *router::chooseOfTwo(std::span<const group_state *const> candidates,
                                               work_class workClass)
{
    if (candidates.empty())
        return nullptr;
    const auto first = random(candidates.size());
    if (candidates.size() == 1)
        return candidates[first];
    auto second = random(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return cheaper(candidates[first], candidates[second], workClass);
}

const router::group_state *router::cheaper(const group_state *left, const group_state *right,
                                           work_class workClass) const
{
    if (!left || !right)
        return left ? left : right;
    const auto leftCost = cost(*left, workClass);
    const auto rightCost = cost(*right, workClass);
    if (leftCost != rightCost)
        return rightCost < leftCost ? right : left;
    // Requests that end before the next summary arrives are spread evenly. Routing them by outdated
    // summaries would create bursts, for which owners keep slots idle.
    if (serviceTime(*left, static_cast<std::size_t>(workClass)) < 2 * m_limits.summaryInterval)
        return left;
    return utilization(*right) < utilization(*left) ? right : left;
}

duration router::cost(const group_state &state, work_class workClass) const
{
    const bool crossRegion = state.summary.region != m_limits.region;
    return expectedWait(state, workClass) + (crossRegion ? m_limits.crossRegionCost : duration {});
}

duration router::expectedWait(const group_state &state, work_class workClass) const
{
    const auto &summary = state.summary;
    const auto forwarded = std::accumulate(state.forwarded.begin(), state.forwarded.end(), 0.0);
    // A request waits for requests of its own and shorter classes, but not of longer ones.
    double work = 0;
    std::uint64_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(workClass); ++index) {
        const auto queued = summary.waiting[index] + state.forwarded[index];
        work += queued * static_cast<double>(serviceTime(state, index).count());
        ahead += summary.waiting[index];
    }
    // If requests are waiting, the free slots are reserved for shorter classes.
    if (ahead == 0 && forwarded < summary.freeSlots)
        return {};
    const auto ownWork =
        static_cast<double>(serviceTime(state, static_cast<std::size_t>(workClass)).count());
    return duration(static_cast<duration::rep>((work + ownWork) / summary.slots));
}

double router::utilization(const group_state &state) const
{
    const auto &summary = state.summary;
    const auto forwarded = std::accumulate(state.forwarded.begin(), state.forwarded.end(), 0.0);
    const auto busy = summary.slots - std::min(summary.slots, summary.freeSlots);
    return (busy + forwarded) / summary.slots;
}

std::uint64_t router::random(std::uint64_t bound)
{
    m_random += 0x9e3779b97f4a7c15;
    return mix64(m_random) % bound;
}

} // namespace plantaingap::decision
