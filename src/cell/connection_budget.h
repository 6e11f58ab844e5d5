#ifndef PLANTAINGAP_CELL_CONNECTION_BUDGET_H
#define PLANTAINGAP_CELL_CONNECTION_BUDGET_H

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <plantaingap/time.h>
#include <string_view>

namespace plantaingap::cell {

// What a connection to a worker is used for, in the order in which waiting calls get one.
enum class call_kind : std::uint8_t { LeaseRenewal, Stop, Throttle, Start };
inline constexpr std::size_t callKinds = 4;

// The name of a kind in logs and metrics.
std::string_view callKindName(call_kind kind);

// Decides how many connections this process holds open at one worker, and which waiting call gets
// the next one.
//
// A worker limits its connections from all processes together, and those of a process that lost
// power stay counted there. So what matters to the leaders to come is how many connections a leader
// has open at any time. Therefore
//
//   - a leader keeps a few connections open. After leaders were lost it keeps fewer, down to the
//     one for renewals, by what those are expected to have left;
//   - beyond these, calls wait for a connection rather than open one, unless the wait would exceed
//     targetQueueTime by the round-trip time of the calls so far;
//   - all calls of a process together use at most half of what is left, and starts, which come all
//     the time, an eighth;
//   - beyond those that it keeps, connections are opened one after another until some have proved
//     to be served, then at most as many at once as there are of these;
//   - after the worker has refused a connection, none is opened for a growing span of time. Calls
//     of all kinds share the connections that are left.
//
// It does no I/O and reads no clock. Each granted call ends with released(), closed() or refused().
class connection_budget
{
public:
    // The limit of a worker whose service declares none.
    static constexpr std::uint32_t defaultWorkerLimit = 64;

    // A call that may go on, over an idle connection or a new one.
    struct grant
    {
        std::uint64_t call = 0;
        bool opens = false;
    };

    // Connections that the worker accepts from all processes together, and the number of lost
    // leaders whose connections it may still count.
    void setLimits(std::uint32_t workerLimit, double lostLeaders);
    // Idle connections that may stay open for orders to come.
    std::size_t keptForOrders() const;

    // Adds a waiting call and returns its number.
    std::uint64_t enqueue(call_kind kind);
    // Withdraws a call that waits no longer; false if it has been granted or withdrawn.
    bool withdraw(std::uint64_t call);
    // The next call that may go on, if any. `mayGrow`: this process may open more than one
    // connection for orders to a worker.
    std::optional<grant> next(time_point now, bool mayGrow);

    // The first reply over a new connection has arrived.
    void proved();
    // The call has ended and its connection is idle.
    void released(call_kind kind);
    // The connection of the call is closed. `isProved`: it had carried a reply.
    void closed(call_kind kind, bool isProved);
    // The worker closed a new connection before it had carried a reply.
    void refused(call_kind kind, time_point now);
    void idleClosed(std::size_t count);
    // A call was answered that long after it had been sent.
    void observeRoundTrip(duration roundTrip);

    // Calls of several kinds share one connection, so that none should hold it for long.
    bool sharesConnection(time_point now) const;
    // No connection is opened until then.
    time_point pausedUntil() const { return m_pausedUntil; }
    bool hasWaiting() const;
    std::size_t waiting(call_kind kind) const;
    // Open connections, with those that are being opened, and those that are idle.
    std::size_t open() const { return m_open; }
    std::size_t idle() const { return m_idle; }
    std::size_t busy(call_kind kind) const { return m_busy[static_cast<std::size_t>(kind)]; }
    std::uint64_t refusals() const { return m_refusals; }

private:
    std::size_t processLimit() const;
    // Connections that are worth having for the orders that wait and are on their way.
    std::size_t orderWidth(call_kind kind) const;
    bool mayOpen(call_kind kind, time_point now, bool mayGrow) const;

    std::uint32_t m_workerLimit = defaultWorkerLimit;
    // What lost leaders are expected to have left of the worker's limit.
    double m_room = defaultWorkerLimit;
    // By kind, in order of arrival.
    std::array<std::deque<std::uint64_t>, callKinds> m_waiting;
    std::uint64_t m_lastCall = 0;
    std::size_t m_open = 0;
    std::size_t m_idle = 0;
    std::array<std::size_t, callKinds> m_busy {};
    // Open connections that have carried no reply yet.
    std::size_t m_unproved = 0;
    duration m_roundTrip {};
    duration m_pause {};
    time_point m_pausedUntil {};
    std::uint64_t m_refusals = 0;
};

} // namespace plantaingap::cell

#endif
