#include "cell/leader.h"
#include "support/boot_time.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

// The leader's orders to workers and calls for advice, and what it tells of itself.
namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using support::bootNow;
using support::log_event;
using support::log_level;

namespace {

// Placement follows events by this much, so that events that come together share a pass.
constexpr milliseconds planDelay {3};
// Placement runs at least this often: dates pass and leases end without any event.
constexpr milliseconds planEvery {50};

constexpr milliseconds orderPatience {800};

// Added to what the advisor will take: the queue of other callers and the way there and back.
constexpr milliseconds adviceGrace {700};

// How often the load is logged.
constexpr milliseconds loadEvery {1000};
// Decisions logged after one pass of placement.
constexpr std::size_t mostNotes = 40;
// Jobs past their objective that are explained each time.
constexpr std::size_t overdueTold = 2;

} // namespace

void leader::planSoon()
{
    if (m_planPosted || m_ended)
        return;
    m_planPosted = true;
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() -> awaitable<void> {
            co_await self->pause(planDelay);
            self->m_planPosted = false;
            if (!self->m_ended)
                self->plan();
        },
        asio::detached);
}

awaitable<void> leader::planRegularly()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        co_await pause(planEvery);
        planSoon();
    }
}

// Bounded: under a flood the rest is counted.
void leader::tellNotes()
{
    const auto notes = m_scheduler.takeEvents();
    for (std::size_t i = 0; i < std::min(notes.size(), mostNotes); ++i) {
        log_event(log_level::Info, notes[i].event)
            .field("task", notes[i].task)
            .field("attempt", notes[i].attempt)
            .field("worker", notes[i].worker)
            .field("reason", notes[i].reason);
    }
    if (notes.size() > mostNotes) {
        log_event(log_level::Info, "notes.left_out")
            .field("count", static_cast<std::uint64_t>(notes.size() - mostNotes));
    }
}

awaitable<void> leader::tellLoad()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        co_await pause(loadEvery);
        if (m_ended)
            co_return;
        const auto now = bootNow();
        const auto load = m_scheduler.load(now);
        const auto advising = m_scheduler.advisorCallRouter().openCalls();
        log_event(log_level::Info, "leader.load")
            .field("term", m_row.term)
            .field("jobs", static_cast<std::uint64_t>(load.jobs))
            .field("cores_used", load.used.milliCores / 1000)
            .field("cores_kept", load.reservedMilliCores / 1000)
            .field("cores", load.capacity.milliCores / 1000)
            .field("running_tasks", static_cast<std::uint64_t>(load.occupyingTasks))
            .field("waiting_tasks", static_cast<std::uint64_t>(load.waitingTasks))
            .field("steps_unasked", static_cast<std::uint64_t>(load.stepsNeedingAdvice))
            .field("steps_asking", static_cast<std::uint64_t>(load.stepsAwaitingAdvice))
            .field("steps_without_room", static_cast<std::uint64_t>(load.stepsAwaitingCapacity))
            .field("advice_calls", advising)
            .field("advice_made", m_counters["advice_calls"])
            .field("advice_failed", m_counters["advice_failures"])
            .field("starts", m_counters["starts"])
            .field("starts_refused", m_counters["starts_not_accepted"])
            .field("write_ms", std::chrono::duration_cast<milliseconds>(m_writeTime).count());
        for (const auto &id : m_scheduler.mostOverdue(overdueTold, now)) {
            for (const auto &line : m_scheduler.explain(id, now))
                log_event(log_level::Info, "job.overdue").field("job", id).field("why", line);
        }
    }
}

void leader::plan()
{
    const auto now = bootNow();
    m_wall.told(m_options.instance, support::wallNow(), now);
    auto orders = m_scheduler.plan(now, m_wall.at(now));
    tellNotes();
    for (auto &stop : orders.stops)
        asio::co_spawn(m_context, sendStop(std::move(stop)), asio::detached);
    for (auto &throttle : orders.throttles)
        asio::co_spawn(m_context, sendThrottle(std::move(throttle)), asio::detached);
    for (auto &request : orders.advice)
        asio::co_spawn(m_context, sendAdvice(std::move(request)), asio::detached);
    if (m_scheduler.hasChanges())
        m_changed.cancel();
}

awaitable<void> leader::sendAdvice(jobs::advice_request request)
{
    const auto self = shared_from_this();
    const auto deadline =
        clock::now() + request.serviceTime + std::chrono::duration_cast<duration>(adviceGrace);
    ++m_counters["advice_calls"];
    outcome<advice> told = call_failure::Unknown;
    if (request.instance.empty()) {
        told = co_await m_ports.advisor.ask(request.step, request.workers, deadline);
    } else {
        const auto address = m_followers[request.instance];
        advice_call call {request.step, request.workers, deadline};
        told = co_await m_ports.peers.advise(address, std::move(call));
    }
    if (m_ended)
        co_return;
    if (const auto *given = std::get_if<advice>(&told)) {
        std::map<std::string, std::string> tickets;
        for (const auto &ticket : given->good)
            tickets[ticket.worker] = ticket.text;
        m_scheduler.onAdvice(request, tickets, given->validity, bootNow());
    } else {
        ++m_counters["advice_failures"];
        m_scheduler.adviceFailed(request, bootNow());
    }
    planSoon();
}

awaitable<void> leader::sendStart(jobs::start_order order)
{
    using jobs::start_result;
    const auto self = shared_from_this();
    ++m_counters["starts"];
    const auto reply = co_await m_ports.workers.start(order, clock::now() + orderPatience);
    if (m_ended)
        co_return;
    auto result = start_result::Unknown;
    switch (reply.answer) {
    case order_answer::Accepted:
        result = start_result::Accepted;
        break;
    case order_answer::BadTicket:
        result = start_result::NoTicket;
        break;
    case order_answer::OldAttempt:
        result = start_result::Ended;
        break;
    case order_answer::OtherIncarnation:
        result = start_result::OtherIncarnation;
        break;
    case order_answer::StaleTerm:
    case order_answer::Expired:
    case order_answer::NoRoom:
    case order_answer::Unwell:
    case order_answer::Refused:
        result = start_result::Refused;
        break;
    case order_answer::Unknown:
        break;
    }
    if (result != start_result::Accepted) {
        ++m_counters["starts_not_accepted"];
        log_event(log_level::Warning, "start.not_accepted")
            .field("task", order.task)
            .field("attempt", order.attempt)
            .field("worker", order.worker.id)
            .field("answer", static_cast<int>(reply.answer));
    }
    m_scheduler.onStartReply(order, result, reply.workerClockMs, bootNow());
    planSoon();
}

awaitable<void> leader::sendStop(jobs::stop_order order)
{
    const auto self = shared_from_this();
    ++m_counters["stops"];
    const auto reply = co_await m_ports.workers.stop(order, clock::now() + orderPatience);
    if (m_ended)
        co_return;
    // A worker that refuses the order for good does not run the task either.
    const bool settled = reply.answer == order_answer::Accepted
                         || reply.answer == order_answer::OldAttempt
                         || reply.answer == order_answer::OtherIncarnation;
    m_scheduler.onStopReply(order, settled, bootNow());
}

awaitable<void> leader::sendThrottle(jobs::throttle_order order)
{
    const auto self = shared_from_this();
    co_await m_ports.workers.throttle(order, clock::now() + orderPatience);
}

leader_beat leader::beat(const follower_beat &told)
{
    const auto now = bootNow();
    m_followers[told.instance] = told.address;
    m_scheduler.advisorCallRouter().heartbeatReceived(told.instance, now);
    m_wall.told(told.instance, told.wall, now);
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_committedAt);
    return {!m_ended && !m_row.resigned, m_row.term, age, m_revision};
}

std::string leader::metrics() const
{
    std::string out;
    for (const auto &[name, value] : m_counters)
        out += "plantaingap_" + name + "_total " + std::to_string(value) + "\n";
    const auto load = m_scheduler.load(bootNow());
    out += "plantaingap_jobs " + std::to_string(load.jobs) + "\n";
    out += "plantaingap_waiting_tasks " + std::to_string(load.waitingTasks) + "\n";
    out += "plantaingap_occupying_tasks " + std::to_string(load.occupyingTasks) + "\n";
    return out;
}

} // namespace plantaingap::cell
