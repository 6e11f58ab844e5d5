#include "decision/service_scheduler.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

constexpr duration minRetryDelay = std::chrono::milliseconds(100);
constexpr duration maxRetryDelay = std::chrono::seconds(60);

constexpr std::array classesByPriority = {work_class::Quick, work_class::Normal, work_class::Long};

work_class nextLongerClass(work_class workClass)
{
    return workClass == work_class::Quick ? work_class::Normal : work_class::Long;
}

} // namespace

service_scheduler::service_scheduler(service_id service, const request_limits &limits,
                                     request_table &requests)
    : m_service(service)
    , m_limits(limits)
    , m_requests(requests)
    , m_slotAllocator(limits)
    , m_classEstimator(limits)
    , m_retries(limits.retryRatio, limits.retryBurst)
{ }

void service_scheduler::onArrival(request_state &request, time_point now,
                                  std::vector<request_action> &actions)
{
    request.scheduler = this;
    request.arrivedAt = now;
    m_retries.earn();
    const auto workClass = classify(request.arrival);
    if (request.arrival.deadline <= now)
        return refuse(request, errc::DeadlinePassed, now + minRetryDelay, actions);
    if (!canQueue(request.arrival, workClass, now))
        return refuse(request, errc::Overloaded, retryHint(workClass, now), actions);
    assignClass(request, workClass);
    enqueue(request);
    queue(workClass).pushBack(request);
}

bool service_scheduler::canQueue(const request_arrived &arrival, work_class workClass,
                                 time_point now)
{
    const auto ahead = queue(workClass).size();
    if (ahead >= m_limits.queueLimit)
        return false;
    if (ahead == 0)
        return true;
    // Refuse a request on arrival if it would miss its deadline in the queue.
    const auto wait = queue(workClass).expectedWait(ahead);
    return wait <= m_limits.maxQueueWait[static_cast<std::size_t>(workClass)]
           && now + wait <= arrival.deadline;
}

void service_scheduler::cancel(request_state &request)
{
    if (request.phase == request_phase::Running && !mutated("requests.skip_phase_check")) {
        request.cancelled = !mutated("requests.forget_cancellation");
        return;
    }
    dequeue(request);
    erase(request);
}

void service_scheduler::onEnd(request_state &request, send_outcome outcome, time_point now,
                              std::vector<request_action> &actions)
{
    PLANTAINGAP_INVARIANT(request.phase == request_phase::Running,
                          "outcome of a request that is not running");
    finishSend(request, outcome, now);
    const bool done = outcome == send_outcome::Completed || outcome == send_outcome::WorkerFailed;
    if (done || request.cancelled)
        return erase(request);
    if (tryRetry(request, outcome)) {
        enqueue(request);
        queue(request.assignedClass).pushFront(request);
        return;
    }
    refuse(request, errc::NoWorker, retryHint(request.assignedClass, now), actions);
}

void service_scheduler::onTimer(request_state &request, time_point now,
                                std::vector<request_action> &actions)
{
    if (request.phase == request_phase::Running)
        return onOverrun(request, now);
    const auto retryAt = retryHint(request.assignedClass, now);
    dequeue(request);
    refuse(request, errc::DeadlinePassed, retryAt, actions);
}

bool service_scheduler::dispatch(time_point now, std::vector<request_action> &actions)
{
    m_slotAllocator.setSlots(m_workers.slots());
    for (std::uint32_t done = 0; done < m_limits.maxActionsPerStep; ++done) {
        const auto workClass = nextClass(now);
        if (!workClass)
            return false;
        processFront(*workClass, now, actions);
    }
    return true;
}

std::optional<work_class> service_scheduler::nextClass(time_point now) const
{
    const oldest_waits waits {oldestWait(work_class::Normal, now),
                              oldestWait(work_class::Long, now)};
    for (const auto workClass : classesByPriority) {
        const auto &waiting = m_queues[static_cast<std::size_t>(workClass)];
        if (!waiting.empty() && m_slotAllocator.canStart(workClass, m_workers.free(), waits))
            return workClass;
    }
    return std::nullopt;
}

duration service_scheduler::oldestWait(work_class workClass, time_point now) const
{
    const auto &waiting = m_queues[static_cast<std::size_t>(workClass)];
    return waiting.empty() ? duration {} : now - waiting.front().arrivedAt;
}

// Refuses the first request of a queue, moves it to the queue of its estimated class, or sends it.
void service_scheduler::processFront(work_class workClass, time_point now,
                                     std::vector<request_action> &actions)
{
    auto &request = queue(workClass).front();
    if (request.arrival.deadline <= now)
        return onTimer(request, now, actions);
    const auto estimated = m_classEstimator.classify(request.arrival.kind, request.arrival.caller,
                                                     request.arrival.declared);
    if (estimated > workClass) {
        dequeue(request);
        unassignClass(request);
        assignClass(request, estimated);
        enqueue(request);
        queue(estimated).pushBack(request);
        return;
    }
    queue(workClass).recordStart(now);
    dequeue(request);
    send(request, now, actions);
}

void service_scheduler::send(request_state &request, time_point now,
                             std::vector<request_action> &actions)
{
    PLANTAINGAP_INVARIANT(request.arrival.idempotent || !request.mayHaveRun,
                          "non-idempotent request resent");
    std::optional<worker_pool::placement> placement;
    if (request.arrival.idempotent)
        placement = m_workers.occupyProbeSlot(now);
    if (!placement)
        placement =
            m_workers.occupySlot(request.sends > 0 ? std::optional(request.worker) : std::nullopt);
    PLANTAINGAP_INVARIANT(placement.has_value(), "no worker has the free slot that was counted");
    request.phase = request_phase::Running;
    request.worker = placement->worker;
    request.registration = placement->registration;
    request.probe = placement->probe;
    request.sentAt = now;
    request.recordedClass.reset();
    ++request.sends;
    m_slotAllocator.addRunning(request.assignedClass, now);
    setOverrunTimer(request);
    actions.emplace_back(send_request {request.arrival.request, request.worker});
}

void service_scheduler::finishSend(request_state &request, send_outcome outcome, time_point now)
{
    m_requests.setTimer(request, std::nullopt);
    m_slotAllocator.removeRunning(request.assignedClass, now);
    m_workers.release({request.worker, request.registration, request.probe}, request.arrival.kind,
                      outcome, now);
    request.phase = request_phase::Waiting;
    request.mayHaveRun |= outcome != send_outcome::NotRun && !mutated("requests.forget_sends");
    // A failed request often ends early whatever its class, so its duration is not recorded.
    const auto observed = m_classEstimator.classOf(now - request.sentAt);
    if (outcome == send_outcome::Completed
        && (!request.recordedClass || observed > *request.recordedClass))
        recordClass(request, observed, now);
}

bool service_scheduler::tryRetry(const request_state &request, send_outcome outcome)
{
    const bool safe = outcome == send_outcome::NotRun || request.arrival.idempotent
                      || mutated("requests.repeat_unknown");
    return safe && request.sends < m_limits.maxSends && m_retries.trySpend();
}

void service_scheduler::onOverrun(request_state &request, time_point now)
{
    const auto workClass = nextLongerClass(request.assignedClass);
    m_slotAllocator.removeRunning(request.assignedClass, now);
    unassignClass(request);
    assignClass(request, workClass);
    m_slotAllocator.addRunning(workClass, now);
    recordClass(request, workClass, now);
    setOverrunTimer(request);
}

void service_scheduler::setOverrunTimer(request_state &request)
{
    if (request.assignedClass == work_class::Long)
        return;
    const bool quick = request.assignedClass == work_class::Quick;
    m_requests.setTimer(
        request, request.sentAt + (quick ? m_limits.quickMaxDuration : m_limits.normalMaxDuration));
}

void service_scheduler::recordClass(request_state &request, work_class observed, time_point now)
{
    const auto &arrival = request.arrival;
    m_classEstimator.observe(arrival.kind, arrival.caller, arrival.declared, observed, now);
    request.recordedClass = observed;
}

work_class service_scheduler::classify(const request_arrived &arrival) const
{
    const auto workClass =
        m_classEstimator.classify(arrival.kind, arrival.caller, arrival.declared);
    if (workClass == work_class::Quick && !withinQuickLimit(arrival))
        return work_class::Normal;
    return workClass;
}

// Limits the open quick requests of an identified caller. The limit rises as the caller's requests
// are observed to be quick.
bool service_scheduler::withinQuickLimit(const request_arrived &arrival) const
{
    if (arrival.caller == caller_id {})
        return true;
    const auto it = m_openQuick.find({arrival.kind, arrival.caller});
    return it == m_openQuick.end()
           || it->second < m_classEstimator.quickLimit(arrival.kind, arrival.caller);
}

void service_scheduler::assignClass(request_state &request, work_class workClass)
{
    request.assignedClass = workClass;
    if (workClass == work_class::Quick && request.arrival.caller != caller_id {})
        ++m_openQuick[{request.arrival.kind, request.arrival.caller}];
}

void service_scheduler::unassignClass(const request_state &request)
{
    if (request.assignedClass != work_class::Quick || request.arrival.caller == caller_id {})
        return;
    const auto it = m_openQuick.find({request.arrival.kind, request.arrival.caller});
    if (it != m_openQuick.end() && --it->second == 0)
        m_openQuick.erase(it);
}

void service_scheduler::enqueue(request_state &request)
{
    request.phase = request_phase::Waiting;
    m_requests.setTimer(request, request.arrival.deadline);
    m_slotAllocator.addWaiting(request.assignedClass);
}

void service_scheduler::dequeue(request_state &request)
{
    PLANTAINGAP_INVARIANT(request.phase == request_phase::Waiting && request.is_linked(),
                          "dequeued request is not in a queue");
    queue(request.assignedClass).remove(request);
    m_requests.setTimer(request, std::nullopt);
    if (!mutated("requests.skip_waiting_count"))
        m_slotAllocator.removeWaiting(request.assignedClass);
}

void service_scheduler::refuse(request_state &request, errc code, time_point retryAt,
                               std::vector<request_action> &actions)
{
    // Once a worker may have run the request, the refusal must not say "not run".
    const auto reportedCode = request.mayHaveRun ? errc::OutcomeUnknown : code;
    actions.emplace_back(refuse_request {request.arrival.request, reportedCode, retryAt});
    erase(request);
}

void service_scheduler::erase(request_state &request)
{
    unassignClass(request);
    m_requests.erase(request);
}

time_point service_scheduler::retryHint(work_class workClass, time_point now)
{
    // The time in which half of the queue drains at the current rate.
    const auto wait = queue(workClass).expectedWait(queue(workClass).size() / 2);
    return now + std::clamp(wait, minRetryDelay, maxRetryDelay);
}

} // namespace plantaingap::decision
