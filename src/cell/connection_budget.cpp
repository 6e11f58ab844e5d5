#include "cell/connection_budget.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::cell {

namespace {

// Parts of what is left of a worker's limit: what one process uses at most, and what it uses for
// starts.
constexpr double processDivisor = 2;
constexpr double startDivisor = 8;
// Part of a worker's limit that the first leader keeps open, with the one for renewals. The next
// ones keep less, by this power of the part that is left to them.
constexpr double keepDivisor = 7;
constexpr double keepPower = 4;
// What one process may use at least, where the worker's limit is large enough: fewer connections
// may be left over than is expected, or more.
constexpr std::size_t minProcessLimit = 4;
constexpr std::size_t minStartLimit = 2;
// What a leader that keeps none for orders has open at a time.
constexpr double minLeftByLeader = 2;
// Further connections are opened for orders that would wait for longer than this.
constexpr duration targetQueueTime = std::chrono::milliseconds(150);
// Weight of one observation in the mean round-trip time.
constexpr int roundTripWeight = 4;
constexpr duration minPause = std::chrono::milliseconds(100);
constexpr duration maxPause = std::chrono::seconds(1);

double keptConnections(double workerLimit, double room)
{
    return workerLimit / keepDivisor * std::pow(room / workerLimit, keepPower);
}

} // namespace

std::string_view callKindName(call_kind kind)
{
    constexpr std::array<std::string_view, callKinds> names {"lease_renewal", "stop", "throttle",
                                                             "start"};
    return names[static_cast<std::size_t>(kind)];
}

void connection_budget::setLimits(std::uint32_t workerLimit, double lostLeaders)
{
    m_workerLimit = workerLimit;
    m_room = workerLimit;
    for (; lostLeaders > 0 && m_room > 1; --lostLeaders) {
        const auto left = std::max(minLeftByLeader, keptConnections(workerLimit, m_room));
        m_room = std::max(m_room - left * std::min(lostLeaders, 1.0), 1.0);
    }
}

std::size_t connection_budget::keptForOrders() const
{
    return static_cast<std::size_t>(std::max(keptConnections(m_workerLimit, m_room), 1.0)) - 1;
}

std::uint64_t connection_budget::enqueue(call_kind kind)
{
    m_waiting[static_cast<std::size_t>(kind)].push_back(++m_lastCall);
    return m_lastCall;
}

bool connection_budget::withdraw(std::uint64_t call)
{
    return std::ranges::any_of(m_waiting,
                               [call](auto &calls) { return std::erase(calls, call) > 0; });
}

std::optional<connection_budget::grant> connection_budget::next(time_point now, bool mayGrow)
{
    for (std::size_t i = 0; i < callKinds; ++i) {
        auto &calls = m_waiting[i];
        const auto kind = static_cast<call_kind>(i);
        if (calls.empty())
            continue;
        const bool opens = m_idle == 0;
        if (opens && !mayOpen(kind, now, mayGrow))
            continue;
        if (opens) {
            ++m_open;
            ++m_unproved;
        } else {
            --m_idle;
        }
        ++m_busy[i];
        const grant granted {calls.front(), opens};
        calls.pop_front();
        return granted;
    }
    return std::nullopt;
}

void connection_budget::proved()
{
    --m_unproved;
    m_pause = {};
    m_pausedUntil = {};
}

void connection_budget::released(call_kind kind)
{
    --m_busy[static_cast<std::size_t>(kind)];
    ++m_idle;
}

void connection_budget::closed(call_kind kind, bool isProved)
{
    --m_busy[static_cast<std::size_t>(kind)];
    --m_open;
    if (!isProved)
        --m_unproved;
}

void connection_budget::refused(call_kind kind, time_point now)
{
    closed(kind, false);
    ++m_refusals;
    m_pause = std::clamp(m_pause * 2, minPause, maxPause);
    m_pausedUntil = now + m_pause;
}

void connection_budget::idleClosed(std::size_t count)
{
    m_idle -= count;
    m_open -= count;
}

void connection_budget::observeRoundTrip(duration roundTrip)
{
    m_roundTrip += (roundTrip - m_roundTrip) / (m_roundTrip == duration {} ? 1 : roundTripWeight);
}

bool connection_budget::sharesConnection(time_point now) const
{
    return m_open <= 1 && (processLimit() == 1 || now < m_pausedUntil || m_pause > duration {});
}

bool connection_budget::hasWaiting() const
{
    return std::ranges::any_of(m_waiting, [](const auto &calls) { return !calls.empty(); });
}

std::size_t connection_budget::waiting(call_kind kind) const
{
    return m_waiting[static_cast<std::size_t>(kind)].size();
}

std::size_t connection_budget::processLimit() const
{
    return std::max(
        {static_cast<std::size_t>(m_room / processDivisor), std::size_t {1},
         std::min(static_cast<std::size_t>(m_workerLimit / processDivisor), minProcessLimit)});
}

std::size_t connection_budget::orderWidth(call_kind kind) const
{
    std::size_t orders = 0;
    for (const auto each : {call_kind::Stop, call_kind::Throttle, call_kind::Start})
        orders += waiting(each) + busy(each);
    const auto wanted =
        std::ceil(static_cast<double>(orders) * static_cast<double>(m_roundTrip.count())
                  / static_cast<double>(targetQueueTime.count()));
    const auto startLimit =
        std::max({static_cast<std::size_t>(m_room / startDivisor), std::size_t {1},
                  std::min(static_cast<std::size_t>(m_workerLimit / startDivisor), minStartLimit)});
    const auto limit = kind == call_kind::Start ? startLimit : processLimit();
    const auto width =
        std::max(static_cast<std::size_t>(wanted), std::min(orders, keptForOrders()));
    return std::clamp<std::size_t>(width, 1, limit);
}

bool connection_budget::mayOpen(call_kind kind, time_point now, bool mayGrow) const
{
    if (now < m_pausedUntil || m_open >= processLimit())
        return false;
    const auto unrefused = m_pause == duration {} ? keptForOrders() : 0;
    if (m_unproved >= std::max({std::size_t {1}, m_open - m_unproved, unrefused}))
        return false;
    const auto forOrders = m_open - busy(call_kind::LeaseRenewal);
    // Orders may have taken the connection of the last renewal.
    if (kind == call_kind::LeaseRenewal)
        return forOrders <= orderWidth(call_kind::Start);
    return forOrders == 0 || (mayGrow && forOrders < orderWidth(kind));
}

} // namespace plantaingap::cell
