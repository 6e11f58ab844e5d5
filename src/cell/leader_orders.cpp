#include "cell/leader.h"
#include "support/boot_time.h"
#include "support/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

// Placement passes, orders to workers, calls to the placement advisor, load logging and metrics.
namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using support::bootNow;
using support::log_event;
using support::log_level;

namespace {

// Delay from an event to the placement pass that it triggers, so that events close together share
// one pass.
constexpr milliseconds planDelay {3};
// Passes are apart by at least this multiple of the time that the last one took, at most
// maxPassPause, which leaves the rest of the event loop's time to replies, leases and writes.
constexpr int passPauseFactor = 2;
constexpr duration maxPassPause = milliseconds(100);
// Maximum time between placement passes: due times pass and leases expire without an event.
constexpr milliseconds planInterval {50};

// Orders that have got no connection to their worker after this time are not sent.
constexpr milliseconds orderQueueTimeout {1500};

// Added to the advisor's expected duration for queueing behind other callers and the round trip.
constexpr milliseconds adviceCallMargin {700};

constexpr milliseconds loadLogInterval {1000};
// Scheduler events logged individually after one placement pass; the rest are counted.
constexpr std::size_t maxEventsPerPass = 40;
// Jobs whose wait has passed a bound that are explained with each load log.
constexpr std::size_t waitingJobsLogged = 8;

} // namespace

void leader::schedulePlan()
{
    if (m_planScheduled || m_ended)
        return;
    m_planScheduled = true;
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() -> awaitable<void> {
            const auto pause = std::min(self->m_lastPassTime * passPauseFactor, maxPassPause);
            co_await self->sleepFor(
                std::max(planDelay, std::chrono::duration_cast<milliseconds>(pause)));
            self->m_planScheduled = false;
            if (!self->m_ended)
                self->plan();
        },
        asio::detached);
}

awaitable<void> leader::planPeriodically()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        const auto dueAt = bootNow() + planInterval;
        co_await sleepFor(planInterval);
        m_lag = std::max(bootNow() - dueAt, duration(0));
        m_greatestLag = std::max(m_greatestLag, m_lag);
        schedulePlan();
    }
}

void leader::logEvents()
{
    const auto events = m_scheduler.takeEvents();
    for (std::size_t i = 0; i < std::min(events.size(), maxEventsPerPass); ++i) {
        log_event line(log_level::Info, events[i].event);
        line.field("task", events[i].task)
            .field("attempt", events[i].attempt)
            .field("worker", events[i].worker)
            .field("reason", events[i].reason);
        for (const auto &[key, value] : events[i].fields)
            line.field(key, value);
    }
    if (events.size() > maxEventsPerPass) {
        log_event(log_level::Info, "scheduler_events.dropped")
            .field("count", static_cast<std::uint64_t>(events.size() - maxEventsPerPass));
    }
}

awaitable<void> leader::logLoad()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        co_await sleepFor(loadLogInterval);
        if (m_ended)
            co_return;
        const auto now = bootNow();
        if (!m_resigning && m_options.shouldYield && m_options.shouldYield()
            && m_followers.hasCapableFollower(now)) {
            log_event(log_level::Info, "leader.yielding")
                .field("partition", m_options.partition.index)
                .field("term", m_row.term);
            m_yielded = true;
            resign();
        }
        const duty_times::scope timed(m_duties, leader_duty::Explanations);
        m_keyRefusalsToLog = maxKeyRefusalsLogged;
        m_ceilingChangesToLog = maxCeilingChangesLogged;
        const auto waits = m_scheduler.observeWaits(waitingJobsLogged, now);
        const auto load = m_scheduler.load(now);
        std::uint64_t workerConnections = 0;
        std::uint64_t connectionsRefused = 0;
        for (const auto &count : m_ports.workers.connectionCounts()) {
            workerConnections += std::accumulate(count.busy.begin(), count.busy.end(), count.idle);
            connectionsRefused += count.refusals;
        }
        const auto openAdviceCalls = m_scheduler.advisorCallRouter().openCalls();
        log_event(log_level::Info, "leader.load")
            .field("partition", m_options.partition.index)
            .field("term", m_row.term)
            .field("jobs", static_cast<std::uint64_t>(load.jobs))
            .field("cores_used", load.used.milliCores / 1000)
            .field("cores_reserved", load.reservedMilliCores / 1000)
            .field("cores", load.capacity.milliCores / 1000)
            .field("running_tasks", static_cast<std::uint64_t>(load.occupyingTasks))
            .field("waiting_tasks", static_cast<std::uint64_t>(load.waitingTasks))
            .field("steps_awaiting_advice_call",
                   static_cast<std::uint64_t>(load.stepsNeedingAdvice))
            .field("steps_awaiting_advice", static_cast<std::uint64_t>(load.stepsAwaitingAdvice))
            .field("steps_without_capacity", static_cast<std::uint64_t>(load.stepsAwaitingCapacity))
            .field("waiting_suspects", static_cast<std::uint64_t>(load.waitingSuspects))
            .field("isolating_workers", static_cast<std::uint64_t>(load.isolatingWorkers))
            .field("advice_calls", openAdviceCalls)
            .field("advice_calls_sent", m_counters["advice_calls"])
            .field("advice_calls_failed", m_counters["advice_failures"])
            .field("starts", m_counters["starts"])
            .field("starts_rejected", m_counters["starts_not_accepted"])
            .field("worker_connections", workerConnections)
            .field("worker_connections_refused", connectionsRefused)
            .field("passes", m_scheduler.passes().passes)
            .field("steps_examined", m_scheduler.passes().stepsExamined)
            .field("workers_examined", m_scheduler.passes().workersExamined)
            .field("submissions", m_scheduler.admission().submissions)
            .field("submission_rebuilds", m_scheduler.admission().rebuilds)
            .field("submission_steps_examined", m_scheduler.admission().stepsExamined)
            .field("submission_workers_examined", m_scheduler.admission().workersExamined)
            .field("write_ms", std::chrono::duration_cast<milliseconds>(m_lastWriteTime).count());
        logFigures();
        logSizes();
        logDuties();
        logWaits(waits, now);
    }
}

void leader::plan()
{
    const duty_times::scope timed(m_duties, leader_duty::Passes);
    const auto now = bootNow();
    m_wallClock.addReading(m_options.instance, support::wallNow(), now);
    auto orders = m_scheduler.plan(now, m_wallClock.estimate(now));
    logEvents();
    for (auto &stop : orders.stops)
        asio::co_spawn(m_context, sendStop(std::move(stop)), asio::detached);
    for (auto &throttle : orders.throttles)
        asio::co_spawn(m_context, sendThrottle(std::move(throttle)), asio::detached);
    for (auto &request : orders.advice)
        asio::co_spawn(m_context, sendAdviceRequest(std::move(request)), asio::detached);
    if (m_scheduler.hasChanges())
        m_changeTimer.cancel();
    m_lastPassTime = timed.elapsed();
}

awaitable<void> leader::sendAdviceRequest(jobs::advice_request request)
{
    const auto self = shared_from_this();
    const auto deadline =
        clock::now() + request.serviceTime + std::chrono::duration_cast<duration>(adviceCallMargin);
    ++m_counters["advice_calls"];
    outcome<advice> result = call_failure::Unknown;
    if (request.instance.empty()) {
        result = co_await m_ports.advisor.requestAdvice(request.step, request.workers, deadline);
    } else {
        const auto address = m_followers.address(request.instance);
        peer_advice_request peerRequest {request.step, request.workers, deadline};
        result = co_await m_ports.peers.requestAdvice(address, std::move(peerRequest));
    }
    if (m_ended)
        co_return;
    if (const auto *received = std::get_if<advice>(&result)) {
        const duty_times::scope timed(m_duties, leader_duty::Advice);
        std::map<std::string, std::string> tickets;
        for (const auto &ticket : received->tickets)
            tickets[ticket.worker] = ticket.text;
        m_scheduler.onAdvice(request, tickets, received->validity, bootNow());
    } else {
        using advice_failure = jobs::job_scheduler::advice_failure;
        ++m_counters["advice_failures"];
        const bool rejected = std::get<call_failure>(result) == call_failure::Refused;
        m_scheduler.adviceFailed(
            request, rejected ? advice_failure::Rejected : advice_failure::NoReply, bootNow());
    }
    schedulePlan();
}

awaitable<void> leader::sendStart(jobs::start_order order)
{
    using jobs::start_result;
    const auto self = shared_from_this();
    ++m_counters["starts"];
    const auto reply = co_await m_ports.workers.start(order, clock::now() + orderQueueTimeout);
    if (m_ended)
        co_return;
    auto result = start_result::Unknown;
    switch (reply.status) {
    case order_status::Accepted:
        result = start_result::Accepted;
        break;
    case order_status::InvalidTicket:
        result = start_result::NoTicket;
        break;
    case order_status::OldAttempt:
        result = start_result::Ended;
        break;
    case order_status::OtherIncarnation:
        result = start_result::OtherIncarnation;
        break;
    case order_status::NotSent:
        result = start_result::NotSent;
        break;
    case order_status::StaleTerm:
    case order_status::Expired:
    case order_status::NoCapacity:
    case order_status::WorkerUnhealthy:
    case order_status::Refused:
        result = start_result::Refused;
        break;
    case order_status::ConnectionBroken:
        result = start_result::ConnectionBroken;
        break;
    case order_status::Unknown:
        break;
    }
    if (result != start_result::Accepted) {
        ++m_counters["starts_not_accepted"];
        log_event(log_level::Warning, "start.not_accepted")
            .field("task", order.task)
            .field("attempt", order.attempt)
            .field("worker", order.worker.id)
            .field("status", static_cast<int>(reply.status));
    }
    m_scheduler.onStartReply(order, result, reply.workerClockMs, bootNow());
    schedulePlan();
}

awaitable<void> leader::sendStop(jobs::stop_order order)
{
    const auto self = shared_from_this();
    const auto run = std::make_pair(order.task, order.attempt);
    if (!m_openStops.insert(run).second)
        co_return;
    ++m_counters["stops"];
    const auto reply = co_await m_ports.workers.stop(order, clock::now() + orderQueueTimeout);
    m_openStops.erase(run);
    if (m_ended)
        co_return;
    // OldAttempt and OtherIncarnation are final: the worker does not run this attempt either.
    const bool settled = reply.status == order_status::Accepted
                         || reply.status == order_status::OldAttempt
                         || reply.status == order_status::OtherIncarnation;
    m_scheduler.onStopReply(order, settled, bootNow());
}

awaitable<void> leader::sendThrottle(jobs::throttle_order order)
{
    const auto self = shared_from_this();
    co_await m_ports.workers.throttle(order, clock::now() + orderQueueTimeout);
}

heartbeat_reply leader::handleHeartbeat(const heartbeat_request &request)
{
    const duty_times::scope timed(m_duties, leader_duty::Heartbeats);
    const auto now = bootNow();
    const auto interval = m_followers.heartbeatReceived(request, now);
    if (request.takesAdviceCalls)
        m_scheduler.advisorCallRouter().heartbeatReceived(request.instance, interval, now);
    m_wallClock.addReading(request.instance, request.wall, now);
    const auto commitAge = std::chrono::duration_cast<milliseconds>(now - m_lastCommitSentAt);
    return {!m_ended && !m_row.resigned, m_row.term, commitAge, m_revision, interval};
}

std::string leader::metrics() const
{
    std::string out;
    const auto label = "{partition=\"" + std::to_string(m_options.partition.index) + "\"} ";
    const auto add = [&](const std::string &name, std::uint64_t value) {
        out += "plantaingap_" + name + label + std::to_string(value) + "\n";
    };
    for (const auto &[name, value] : m_counters)
        add(name + "_total", value);
    const auto load = m_scheduler.load(bootNow());
    add("worker_crashes_total", m_scheduler.workerCrashes());
    add("tasks_given_up_total", m_scheduler.tasksGivenUp());
    for (std::size_t cause = 0; cause < jobs::runLossCauses; ++cause) {
        const auto name = jobs::runLossName(static_cast<jobs::run_loss_cause>(cause));
        add("runs_lost_" + std::string(name) + "_total", m_scheduler.runLosses()[cause]);
    }
    const auto &accounting = m_scheduler.accounting();
    for (std::size_t cause = 0; cause < jobs::unaccountedCauses; ++cause) {
        const auto name = jobs::unaccountedCauseName(static_cast<jobs::unaccounted_cause>(cause));
        add("runs_unaccounted_" + std::string(name) + "_total", accounting.unaccounted[cause]);
    }
    const auto &passes = m_scheduler.passes();
    add("passes_total", passes.passes);
    add("pass_steps_ready_total", passes.stepsReady);
    add("pass_steps_examined_total", passes.stepsExamined);
    add("pass_workers_examined_total", passes.workersExamined);
    const auto &admission = m_scheduler.admission();
    add("submissions_estimated_total", admission.submissions);
    add("submission_rebuilds_total", admission.rebuilds);
    add("submission_steps_examined_total", admission.stepsExamined);
    add("submission_workers_examined_total", admission.workersExamined);
    add("runs_released_unlisted_total", accounting.releasedUnlisted);
    add("starts_beside_unaccounted_total", accounting.startsBesideUnaccounted);
    add("workers_with_unaccounted_runs", load.unaccountedWorkers);
    add("orphan_runs", load.orphanRuns);
    add("jobs", load.jobs);
    add("workers", m_workerEntries.size());
    add("ended_jobs_loaded", m_endedJobsLoaded ? 1 : 0);
    add("waiting_tasks", load.waitingTasks);
    add("occupying_tasks", load.occupyingTasks);
    add("waiting_suspects", load.waitingSuspects);
    add("isolating_workers", load.isolatingWorkers);
    const auto cores = [](std::int64_t milliCores) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(milliCores, 0) / 1000);
    };
    add("cores", cores(load.capacity.milliCores));
    add("cores_used", cores(load.used.milliCores));
    add("cores_reserved", cores(load.reservedMilliCores));
    add("memory_mib", static_cast<std::uint64_t>(load.capacity.memoryMib));
    add("memory_mib_used", static_cast<std::uint64_t>(load.used.memoryMib));
    addFigures(out);
    addSizes(out);
    addWorkspaces(out);
    addLimits(out);
    addInterference(out);
    for (std::size_t duty = 0; duty < leaderDuties; ++duty) {
        out += "plantaingap_leader_seconds_total{partition=\""
               + std::to_string(m_options.partition.index) + "\",duty=\""
               + std::string(dutyNames[duty]) + "\"} "
               + std::to_string(std::chrono::duration<double>(m_duties.spent()[duty]).count())
               + "\n";
    }
    out += "plantaingap_leader_lag_seconds" + label
           + std::to_string(std::chrono::duration<double>(m_lag).count()) + "\n";
    return out;
}

} // namespace plantaingap::cell
