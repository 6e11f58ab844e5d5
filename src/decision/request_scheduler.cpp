#include "decision/request_scheduler.h"

#include <algorithm>
#include <cassert>

namespace plantaingap::decision {

request_scheduler::request_scheduler(const request_limits &limits)
    : m_limits(limits)
{ }

void request_scheduler::step(const request_event &event, time_point now,
                             std::vector<request_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

std::optional<time_point> request_scheduler::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void request_scheduler::expire(time_point now, std::vector<request_action> &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const request_id request = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_requests.find(request);
        if (found == m_requests.end() || found->second.worker)
            continue;
        refuse(request, errc::DeadlinePassed, now, actions);
    }
}

std::uint32_t request_scheduler::freeSlots(service_id service) const
{
    std::uint32_t free = 0;
    for (const auto &[id, worker] : m_workers) {
        if (worker.service == service && !worker.leaving)
            free += worker.slots - worker.used;
    }
    return free;
}

void request_scheduler::on(const worker_added &event, time_point now,
                           std::vector<request_action> &actions)
{
    const auto used = std::min(event.occupied, event.slots);
    m_workers[event.worker] = worker_state {event.service, event.slots, used, false};
    dispatch(event.service, now, actions);
}

void request_scheduler::on(const worker_slots_confirmed &event, time_point now,
                           std::vector<request_action> &actions)
{
    const auto found = m_workers.find(event.worker);
    if (found == m_workers.end())
        return;
    std::uint32_t own = 0;
    for (const auto &[id, request] : m_requests)
        own += request.worker == event.worker ? 1 : 0;
    found->second.used = std::min(found->second.slots, own + event.occupied);
    dispatch(found->second.service, now, actions);
}

void request_scheduler::on(const worker_leaving &event, time_point, std::vector<request_action> &)
{
    const auto found = m_workers.find(event.worker);
    if (found != m_workers.end())
        found->second.leaving = true;
}

void request_scheduler::on(const worker_removed &event, time_point, std::vector<request_action> &)
{
    m_workers.erase(event.worker);
}

void request_scheduler::on(const request_arrived &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto &waiting = m_queues[{event.service, event.declared}];
    m_requests[event.request] = request_state {event, 0, std::nullopt};
    ++m_waiting;
    if (event.deadline <= now)
        return refuse(event.request, errc::DeadlinePassed, now, actions);
    if (waiting.size() >= m_limits.queueLimit)
        return refuse(event.request, errc::Overloaded, now, actions);
    waiting.push_back(event.request);
    m_deadlines.emplace(event.deadline, event.request);
    dispatch(event.service, now, actions);
}

void request_scheduler::on(const request_cancelled &event, time_point,
                           std::vector<request_action> &)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end() || found->second.worker)
        return;
    m_requests.erase(found);
    --m_waiting;
}

void request_scheduler::on(const request_ended &event, time_point now,
                           std::vector<request_action> &actions)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end() || !found->second.worker)
        return;
    const auto service = found->second.arrival.service;
    const auto worker = m_workers.find(*found->second.worker);
    if (worker != m_workers.end()) {
        assert(worker->second.used > 0);
        --worker->second.used;
    }
    --m_running;
    found->second.worker.reset();
    const bool again =
        event.outcome == send_outcome::NotRun
        || (event.outcome == send_outcome::Unknown && found->second.arrival.idempotent);
    if (event.outcome == send_outcome::Answered || event.outcome == send_outcome::WorkerFailed) {
        m_requests.erase(found);
    } else if (again && found->second.sends < m_limits.attempts) {
        ++m_waiting;
        m_queues[{service, found->second.arrival.declared}].push_front(event.request);
        m_deadlines.emplace(found->second.arrival.deadline, event.request);
    } else {
        ++m_waiting;
        const bool notRun = event.outcome == send_outcome::NotRun;
        refuse(event.request, notRun ? errc::NoWorker : errc::OutcomeUnknown, now, actions);
    }
    dispatch(service, now, actions);
}

void request_scheduler::dispatch(service_id service, time_point now,
                                 std::vector<request_action> &actions)
{
    for (const auto priority : {work_class::Quick, work_class::Normal, work_class::Long}) {
        auto &waiting = m_queues[{service, priority}];
        while (!waiting.empty()) {
            const auto request = waiting.front();
            const auto found = m_requests.find(request);
            if (found == m_requests.end() || found->second.worker) {
                waiting.pop_front();
                continue;
            }
            if (found->second.arrival.deadline <= now) {
                waiting.pop_front();
                refuse(request, errc::DeadlinePassed, now, actions);
                continue;
            }
            const auto worker = freeWorker(service);
            if (!worker)
                return;
            waiting.pop_front();
            ++m_workers[*worker].used;
            ++m_running;
            --m_waiting;
            ++found->second.sends;
            found->second.worker = worker;
            actions.emplace_back(send_request {request, *worker});
        }
    }
}

std::optional<worker_id> request_scheduler::freeWorker(service_id service) const
{
    std::optional<worker_id> best;
    std::uint32_t bestFree = 0;
    for (const auto &[id, worker] : m_workers) {
        if (worker.service != service || worker.leaving)
            continue;
        const auto free = worker.slots - worker.used;
        if (free > bestFree) {
            best = id;
            bestFree = free;
        }
    }
    return best;
}

void request_scheduler::refuse(request_id request, errc code, time_point now,
                               std::vector<request_action> &actions)
{
    m_requests.erase(request);
    --m_waiting;
    actions.emplace_back(refuse_request {request, code, now + std::chrono::seconds(1)});
}

} // namespace plantaingap::decision
