#include "cell/follower_table.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace plantaingap::cell {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds fastInterval {200};
constexpr milliseconds slowestInterval {2000};
// Followers that would take over first.
constexpr std::size_t successorCount = 6;
// Heartbeats a second of all other followers together.
constexpr std::int64_t sharedRate = 60;
constexpr milliseconds reviewInterval {500};
// A follower without a heartbeat for this long is removed.
constexpr milliseconds followerLifetime {6000};

} // namespace

void follower_table::review(time_point now)
{
    m_reviewedAt = now;
    std::erase_if(m_followers, [now](const auto &entry) {
        return now - entry.second.lastHeartbeat > followerLifetime;
    });
    std::vector<std::tuple<milliseconds, std::string>> order;
    for (const auto &[instance, state] : m_followers)
        order.emplace_back(state.takeoverDelay, instance);
    const auto count = std::min(successorCount, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count));
    m_successors.clear();
    for (std::size_t i = 0; i < count; ++i)
        m_successors.insert(std::get<std::string>(order[i]));
}

milliseconds follower_table::heartbeatReceived(const heartbeat_request &request, time_point now)
{
    const auto &instance = request.instance;
    m_followers[instance] = {request.address, request.takeoverDelay, request.canLead, now};
    if (m_reviewedAt == time_point {} || now - m_reviewedAt >= reviewInterval)
        review(now);
    if (m_successors.contains(instance) || m_followers.size() <= successorCount)
        return fastInterval;
    const auto others = static_cast<std::int64_t>(m_followers.size() - successorCount);
    return std::clamp(milliseconds(others * 1000 / sharedRate), fastInterval, slowestInterval);
}

bool follower_table::hasCapableFollower(time_point now) const
{
    return std::ranges::any_of(m_followers, [now](const auto &entry) {
        return entry.second.canLead && now - entry.second.lastHeartbeat <= slowestInterval;
    });
}

std::string follower_table::address(const std::string &instance) const
{
    const auto found = m_followers.find(instance);
    return found == m_followers.end() ? std::string() : found->second.address;
}

} // namespace plantaingap::cell
