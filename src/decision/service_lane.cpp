#include "decision/service_lane.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

constexpr duration shortestRetry = std::chrono::milliseconds(100);
constexpr duration longestRetry = std::chrono::seconds(60);

constexpr std::array classes = {work_class::Quick, work_class::Normal, work_class::Long};

work_class longer(work_class name)
{
    return name == work_class::Quick ? work_class::Normal : work_class::Long;
}

} // namespace

service_lane::service_lane(service_id service, const request_limits &limits,
                           request_table &requests)
    : m_service(service)
    , m_limits(limits)
    , m_requests(requests)
    , m_shares(limits)
    , m_sizes(limits)
    , m_retries(limits.retryRatio, limits.retryBurst)
{ }

void service_lane::arrive(request_state &request, time_point now,
                          std::vector<request_action> &actions)
{
    request.lane = this;
    request.arrivedAt = now;
    m_retries.earn();
    const auto name = classify(request.arrival);
    if (request.arrival.deadline <= now)
        return refuse(request, errc::DeadlinePassed, now + shortestRetry, actions);
    if (!mayQueue(request.arrival, name, now))
        return refuse(request, errc::Overloaded, retryHint(name, now), actions);
    charge(request, name);
    enqueue(request);
    queue(name).pushBack(request);
}

bool service_lane::mayQueue(const request_arrived &arrival, work_class name, time_point now)
{
    const auto ahead = queue(name).size();
    if (ahead >= m_limits.queueLimit)
        return false;
    if (ahead == 0)
        return true;
    // A request that would be dropped at its deadline is told so at once.
    const auto wait = queue(name).expectedWait(ahead);
    return wait <= m_limits.waitAtMost[static_cast<std::size_t>(name)]
           && now + wait <= arrival.deadline;
}

void service_lane::cancel(request_state &request)
{
    if (request.phase == request_phase::Running && !mutated("requests.skip_phase_check")) {
        request.cancelled = !mutated("requests.forget_cancellation");
        return;
    }
    dequeue(request);
    erase(request);
}

void service_lane::end(request_state &request, send_outcome outcome, time_point now,
                       std::vector<request_action> &actions)
{
    PLANTAINGAP_INVARIANT(request.phase == request_phase::Running, "end of a request not sent");
    finishSend(request, outcome, now);
    const bool done = outcome == send_outcome::Answered || outcome == send_outcome::WorkerFailed;
    if (done || request.cancelled)
        return erase(request);
    if (maySendAgain(request, outcome)) {
        enqueue(request);
        queue(request.charged).pushFront(request);
        return;
    }
    refuse(request, errc::NoWorker, retryHint(request.charged, now), actions);
}

void service_lane::timeout(request_state &request, time_point now,
                           std::vector<request_action> &actions)
{
    if (request.phase == request_phase::Running)
        return overrun(request, now);
    const auto retryAt = retryHint(request.charged, now);
    dequeue(request);
    refuse(request, errc::DeadlinePassed, retryAt, actions);
}

bool service_lane::dispatch(time_point now, std::vector<request_action> &actions)
{
    m_shares.setSlots(m_workers.slots());
    for (std::uint32_t done = 0; done < m_limits.actionsPerStep; ++done) {
        const auto name = nextClass(now);
        if (!name)
            return false;
        advance(*name, now, actions);
    }
    return true;
}

std::optional<work_class> service_lane::nextClass(time_point now) const
{
    const oldest_waits waits {oldestWait(work_class::Normal, now),
                              oldestWait(work_class::Long, now)};
    for (const auto name : classes) {
        const auto &waiting = m_queues[static_cast<std::size_t>(name)];
        if (!waiting.empty() && m_shares.mayStart(name, m_workers.free(), waits))
            return name;
    }
    return std::nullopt;
}

duration service_lane::oldestWait(work_class name, time_point now) const
{
    const auto &waiting = m_queues[static_cast<std::size_t>(name)];
    return waiting.empty() ? duration {} : now - waiting.front().arrivedAt;
}

// Deals with the first request of a queue: it is refused, moved to the queue of its true class, or
// sent.
void service_lane::advance(work_class name, time_point now, std::vector<request_action> &actions)
{
    auto &request = queue(name).front();
    if (request.arrival.deadline <= now)
        return timeout(request, now, actions);
    const auto seen =
        m_sizes.classify(request.arrival.kind, request.arrival.caller, request.arrival.declared);
    if (seen > name) {
        dequeue(request);
        discharge(request);
        charge(request, seen);
        enqueue(request);
        queue(seen).pushBack(request);
        return;
    }
    queue(name).noteStart(now);
    dequeue(request);
    send(request, now, actions);
}

void service_lane::send(request_state &request, time_point now,
                        std::vector<request_action> &actions)
{
    PLANTAINGAP_INVARIANT(request.arrival.idempotent || !request.mayHaveRun,
                          "non-idempotent request sent again");
    std::optional<worker_pool::placement> placement;
    if (request.arrival.idempotent)
        placement = m_workers.placeProbe(now);
    if (!placement)
        placement =
            m_workers.place(request.sends > 0 ? std::optional(request.worker) : std::nullopt);
    PLANTAINGAP_INVARIANT(placement.has_value(), "free slots counted but not found");
    request.phase = request_phase::Running;
    request.worker = placement->worker;
    request.stay = placement->stay;
    request.probe = placement->probe;
    request.sentAt = now;
    request.learned.reset();
    ++request.sends;
    m_shares.addRunning(request.charged, now);
    setOverrunTimer(request);
    actions.emplace_back(send_request {request.arrival.request, request.worker});
}

void service_lane::finishSend(request_state &request, send_outcome outcome, time_point now)
{
    m_requests.setTimer(request, std::nullopt);
    m_shares.removeRunning(request.charged, now);
    m_workers.release({request.worker, request.stay, request.probe}, request.arrival.kind, outcome,
                      now);
    request.phase = request_phase::Waiting;
    request.mayHaveRun |= outcome != send_outcome::NotRun && !mutated("requests.forget_sends");
    // A failure is often quick whatever the size of the work, so it teaches nothing.
    const auto seen = m_sizes.classOf(now - request.sentAt);
    if (outcome == send_outcome::Answered && (!request.learned || seen > *request.learned))
        learn(request, seen, now);
}

bool service_lane::maySendAgain(const request_state &request, send_outcome outcome)
{
    const bool safe = outcome == send_outcome::NotRun || request.arrival.idempotent
                      || mutated("requests.repeat_unknown");
    return safe && request.sends < m_limits.attempts && m_retries.spend();
}

void service_lane::overrun(request_state &request, time_point now)
{
    const auto name = longer(request.charged);
    m_shares.removeRunning(request.charged, now);
    discharge(request);
    charge(request, name);
    m_shares.addRunning(name, now);
    learn(request, name, now);
    setOverrunTimer(request);
}

void service_lane::setOverrunTimer(request_state &request)
{
    if (request.charged == work_class::Long)
        return;
    const bool quick = request.charged == work_class::Quick;
    m_requests.setTimer(request,
                        request.sentAt + (quick ? m_limits.quickAtMost : m_limits.normalAtMost));
}

void service_lane::learn(request_state &request, work_class seen, time_point now)
{
    const auto &arrival = request.arrival;
    m_sizes.observe(arrival.kind, arrival.caller, arrival.declared, seen, now);
    request.learned = seen;
}

work_class service_lane::classify(const request_arrived &arrival) const
{
    const auto name = m_sizes.classify(arrival.kind, arrival.caller, arrival.declared);
    if (name == work_class::Quick && !withinWindow(arrival))
        return work_class::Normal;
    return name;
}

// A caller that is known by name has to show that its requests are quick before it may fill the
// slots with them.
bool service_lane::withinWindow(const request_arrived &arrival) const
{
    if (arrival.caller == caller_id {})
        return true;
    const auto found = m_quick.find({arrival.kind, arrival.caller});
    return found == m_quick.end()
           || found->second < m_sizes.quickWindow(arrival.kind, arrival.caller);
}

void service_lane::charge(request_state &request, work_class name)
{
    request.charged = name;
    if (name == work_class::Quick && request.arrival.caller != caller_id {})
        ++m_quick[{request.arrival.kind, request.arrival.caller}];
}

void service_lane::discharge(const request_state &request)
{
    if (request.charged != work_class::Quick || request.arrival.caller == caller_id {})
        return;
    const auto found = m_quick.find({request.arrival.kind, request.arrival.caller});
    if (found != m_quick.end() && --found->second == 0)
        m_quick.erase(found);
}

void service_lane::enqueue(request_state &request)
{
    request.phase = request_phase::Waiting;
    m_requests.setTimer(request, request.arrival.deadline);
    m_shares.addWaiting(request.charged);
}

void service_lane::dequeue(request_state &request)
{
    PLANTAINGAP_INVARIANT(request.phase == request_phase::Waiting && request.is_linked(),
                          "request in two states");
    queue(request.charged).remove(request);
    m_requests.setTimer(request, std::nullopt);
    if (!mutated("requests.skip_waiting_count"))
        m_shares.removeWaiting(request.charged);
}

void service_lane::refuse(request_state &request, errc code, time_point retryAt,
                          std::vector<request_action> &actions)
{
    // After a send that may have run, no refusal may say "not run".
    const auto honest = request.mayHaveRun ? errc::OutcomeUnknown : code;
    actions.emplace_back(refuse_request {request.arrival.request, honest, retryAt});
    erase(request);
}

void service_lane::erase(request_state &request)
{
    discharge(request);
    m_requests.erase(request);
}

time_point service_lane::retryHint(work_class name, time_point now)
{
    // By then half of the queue has drained at its present rate.
    const auto wait = queue(name).expectedWait(queue(name).size() / 2);
    return now + std::clamp(wait, shortestRetry, longestRetry);
}

} // namespace plantaingap::decision
