#include "decision/request_scheduler.h"

#include <algorithm>
#include <plantaingap/invariant.h>

namespace plantaingap::decision {

request_scheduler::request_scheduler(const request_limits &limits)
    : m_limits(limits)
{ }

void request_scheduler::step(const request_event &event, time_point now,
                             std::vector<request_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
    checkCounts();
}

std::optional<time_point> request_scheduler::nextDeadline() const
{
    const auto timer = m_requests.nextTimer();
    if (m_unfinished.empty())
        return timer;
    return timer ? std::min(*timer, m_unfinishedSince) : m_unfinishedSince;
}

void request_scheduler::expire(time_point now, std::vector<request_action> &actions)
{
    std::set<service_id> pending;
    pending.swap(m_unfinished);
    for (std::uint32_t done = 0; done < m_limits.maxActionsPerStep; ++done) {
        auto *request = m_requests.popExpired(now);
        if (!request)
            break;
        pending.insert(request->arrival.service);
        request->scheduler->onTimer(*request, now, actions);
    }
    for (const auto service : pending)
        dispatch(service, now, actions);
    checkCounts();
}

std::size_t request_scheduler::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, scheduler] : m_services)
        count += scheduler->slotAllocator().waiting();
    return count;
}

std::size_t request_scheduler::running() const
{
    std::size_t count = 0;
    for (const auto &[service, scheduler] : m_services)
        count += scheduler->slotAllocator().running();
    return count;
}

std::size_t request_scheduler::waiting(service_id service, work_class workClass) const
{
    const auto *scheduler = findScheduler(service);
    return scheduler ? scheduler->slotAllocator().waiting(workClass) : 0;
}

std::uint32_t request_scheduler::freeSlots(service_id service) const
{
    const auto *scheduler = findScheduler(service);
    return scheduler ? scheduler->workers().free() : 0;
}

std::size_t request_scheduler::quarantined(service_id service) const
{
    const auto *scheduler = findScheduler(service);
    return scheduler ? scheduler->workers().quarantined() : 0;
}

void request_scheduler::on(const worker_added &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto &scheduler = schedulerFor(event.service);
    auto *previous = schedulerOf(event.worker);
    if (previous && previous != &scheduler)
        previous->workers().remove(event.worker);
    m_workers[event.worker] = &scheduler;
    scheduler.workers().add(event);
    dispatch(event.service, now, actions);
}

void request_scheduler::on(const worker_slots_confirmed &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto *scheduler = schedulerOf(event.worker);
    if (!scheduler)
        return;
    scheduler->workers().setPreviousOwnerSlots(event.worker, event.occupied);
    dispatch(scheduler->service(), now, actions);
}

void request_scheduler::on(const worker_leaving &event, time_point, std::vector<request_action> &)
{
    if (auto *scheduler = schedulerOf(event.worker))
        scheduler->workers().markLeaving(event.worker);
}

void request_scheduler::on(const worker_removed &event, time_point, std::vector<request_action> &)
{
    if (auto *scheduler = schedulerOf(event.worker))
        scheduler->workers().remove(event.worker);
    m_workers.erase(event.worker);
}

void request_scheduler::on(const request_arrived &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto *request = m_requests.add(event);
    if (!request)
        return;
    schedulerFor(event.service).onArrival(*request, now, actions);
    dispatch(event.service, now, actions);
}

void request_scheduler::on(const request_cancelled &event, time_point,
                           std::vector<request_action> &)
{
    // Cancelling a waiting request frees no slot. Skipping the dispatch keeps bursts of
    // cancellations cheap.
    if (auto *request = m_requests.find(event.request))
        request->scheduler->cancel(*request);
}

void request_scheduler::on(const request_ended &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto *request = m_requests.find(event.request);
    if (!request || request->phase != request_phase::Running)
        return;
    const auto service = request->arrival.service;
    request->scheduler->onEnd(*request, event.outcome, now, actions);
    dispatch(service, now, actions);
}

service_scheduler &request_scheduler::schedulerFor(service_id service)
{
    auto &scheduler = m_services[service];
    if (!scheduler)
        scheduler = std::make_unique<service_scheduler>(service, m_limits, m_requests);
    return *scheduler;
}

const service_scheduler *request_scheduler::findScheduler(service_id service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.get();
}

service_scheduler *request_scheduler::schedulerOf(worker_id worker)
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() ? nullptr : it->second;
}

void request_scheduler::dispatch(service_id service, time_point now,
                                 std::vector<request_action> &actions)
{
    if (!schedulerFor(service).dispatch(now, actions)) {
        m_unfinished.erase(service);
        return;
    }
    m_unfinished.insert(service);
    m_unfinishedSince = now;
}

// Each accepted request is either waiting or running, so the counts add up to the total.
void request_scheduler::checkCounts() const
{
    PLANTAINGAP_INVARIANT(waiting() + running() == m_requests.size(),
                          "number of requests differs from waiting plus running");
}

} // namespace plantaingap::decision
