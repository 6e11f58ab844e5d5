#include "decision/router.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plantaingap::decision {

namespace {

// For a class whose requests were not seen yet.
constexpr std::array<duration, 3> assumedServiceTime = {
    std::chrono::milliseconds(50), std::chrono::seconds(1), std::chrono::seconds(10)};

// The finalizer of splitmix64: every bit of the input changes half of the output.
constexpr std::uint64_t scramble(std::uint64_t bits)
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

void router::learn(const group_summary &summary)
{
    auto &known = m_services[summary.service][summary.group];
    if (summary.asOf < known.summary.asOf)
        return;
    known.summary = summary;
    known.forwarded = {};
}

void router::forget(group_id group)
{
    for (auto &[service, groups] : m_services)
        groups.erase(group);
}

void router::suspect(instance_id owner)
{
    m_suspected.insert(owner);
}

void router::trust(instance_id owner)
{
    m_suspected.erase(owner);
}

std::optional<route> router::choose(service_id service, work_class name, time_point now)
{
    m_retries.earn();
    return chooseBut(service, name, std::nullopt, now);
}

std::optional<route> router::chooseAgain(service_id service, work_class name, group_id refusedBy,
                                         time_point now)
{
    // Looked up first, so that a request without another group spends nothing.
    const auto other = chooseBut(service, name, refusedBy, now);
    if (!other || !m_retries.spend())
        return std::nullopt;
    return other;
}

std::optional<route> router::chooseByKey(service_id service, std::uint64_t keyHash,
                                         std::span<const group_id> groups, time_point now) const
{
    if (groups.empty())
        return std::nullopt;
    const auto weight = [&](group_id group) {
        return std::pair(scramble(keyHash ^ scramble(number(group) + 1ULL)), group);
    };
    const auto group = *std::ranges::max_element(groups, {}, weight);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto known = found->second.find(group);
    if (known == found->second.end() || !usable(known->second, now))
        return std::nullopt;
    return route {group, known->second.summary.owner};
}

void router::noteForwarded(group_id group, service_id service, work_class name, time_point now)
{
    auto &known = m_services[service][group];
    age(known, now);
    known.forwarded[static_cast<std::size_t>(name)] += 1;
}

duration router::serviceTime(const known_group &known, std::size_t name)
{
    const auto told = known.summary.serviceTime[name];
    return told > duration {} ? told : assumedServiceTime[name];
}

void router::age(known_group &known, time_point now)
{
    const auto passed = std::max(duration {}, now - known.forwardedAt);
    for (std::size_t name = 0; name < known.forwarded.size(); ++name) {
        const auto part = static_cast<double>(passed.count())
                          / static_cast<double>(serviceTime(known, name).count());
        known.forwarded[name] *= std::exp(-part);
    }
    known.forwardedAt = now;
}

bool router::usable(const known_group &known, time_point now) const
{
    const auto &summary = known.summary;
    return summary.slots > 0 && now - summary.asOf <= m_limits.staleAfter
           && !m_suspected.contains(summary.owner);
}

std::optional<route> router::chooseBut(service_id service, work_class name,
                                       std::optional<group_id> excluded, time_point now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    m_near.clear();
    m_far.clear();
    for (auto &[group, known] : found->second) {
        if (group == excluded || !usable(known, now))
            continue;
        age(known, now);
        auto &side = known.summary.region == m_limits.region ? m_near : m_far;
        side.push_back(&known);
    }
    const auto *near = drawTwo(m_near, name);
    // While there is room here, the groups elsewhere need not be looked at.
    const bool stay = near && expectedWait(*near, name) <= m_limits.regionCost;
    const auto *best = stay ? near : better(near, drawTwo(m_far, name), name);
    if (!best)
        return std::nullopt;
    return route {best->summary.group, best->summary.owner};
}

const router::known_group *router::drawTwo(std::span<const known_group *const> candidates,
                                           work_class name)
{
    if (candidates.empty())
        return nullptr;
    const auto first = random(candidates.size());
    if (candidates.size() == 1)
        return candidates[first];
    auto second = random(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return better(candidates[first], candidates[second], name);
}

const router::known_group *router::better(const known_group *left, const known_group *right,
                                          work_class name) const
{
    if (!left || !right)
        return left ? left : right;
    const auto leftCost = cost(*left, name);
    const auto rightCost = cost(*right, name);
    if (leftCost != rightCost)
        return rightCost < leftCost ? right : left;
    // Requests that end before the next summary comes are spread evenly. Sent after late summaries
    // they would come in waves, for which owners keep slots idle.
    if (serviceTime(*left, static_cast<std::size_t>(name)) < 2 * m_limits.summaryPeriod)
        return left;
    return busyShare(*right) < busyShare(*left) ? right : left;
}

duration router::cost(const known_group &known, work_class name) const
{
    const bool crosses = known.summary.region != m_limits.region;
    return expectedWait(known, name) + (crosses ? m_limits.regionCost : duration {});
}

duration router::expectedWait(const known_group &known, work_class name) const
{
    const auto &summary = known.summary;
    const auto forwarded = std::accumulate(known.forwarded.begin(), known.forwarded.end(), 0.0);
    // A request waits for those of its class and of shorter ones; longer ones come after it.
    double work = 0;
    std::uint64_t ahead = 0;
    for (std::size_t each = 0; each <= static_cast<std::size_t>(name); ++each) {
        const auto there = summary.waiting[each] + known.forwarded[each];
        work += there * static_cast<double>(serviceTime(known, each).count());
        ahead += summary.waiting[each];
    }
    // Free slots beside waiting requests are held back for shorter work.
    if (ahead == 0 && forwarded < summary.freeSlots)
        return {};
    const auto own =
        static_cast<double>(serviceTime(known, static_cast<std::size_t>(name)).count());
    return duration(static_cast<duration::rep>((work + own) / summary.slots));
}

double router::busyShare(const known_group &known) const
{
    const auto &summary = known.summary;
    const auto forwarded = std::accumulate(known.forwarded.begin(), known.forwarded.end(), 0.0);
    const auto busy = summary.slots - std::min(summary.slots, summary.freeSlots);
    return (busy + forwarded) / summary.slots;
}

std::uint64_t router::random(std::uint64_t bound)
{
    m_random += 0x9e3779b97f4a7c15;
    return scramble(m_random) % bound;
}

} // namespace plantaingap::decision
