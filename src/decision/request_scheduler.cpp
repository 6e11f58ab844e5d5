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
    std::set<service_id> touched;
    touched.swap(m_unfinished);
    for (std::uint32_t done = 0; done < m_limits.actionsPerStep; ++done) {
        auto *request = m_requests.takeDue(now);
        if (!request)
            break;
        touched.insert(request->arrival.service);
        request->lane->timeout(*request, now, actions);
    }
    for (const auto service : touched)
        dispatch(service, now, actions);
    checkCounts();
}

std::size_t request_scheduler::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, lane] : m_lanes)
        count += lane->shares().waiting();
    return count;
}

std::size_t request_scheduler::running() const
{
    std::size_t count = 0;
    for (const auto &[service, lane] : m_lanes)
        count += lane->shares().running();
    return count;
}

std::size_t request_scheduler::waiting(service_id service, work_class name) const
{
    const auto *found = findLane(service);
    return found ? found->shares().waiting(name) : 0;
}

std::uint32_t request_scheduler::freeSlots(service_id service) const
{
    const auto *found = findLane(service);
    return found ? found->workers().free() : 0;
}

std::size_t request_scheduler::quarantined(service_id service) const
{
    const auto *found = findLane(service);
    return found ? found->workers().quarantined() : 0;
}

void request_scheduler::on(const worker_added &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto &home = lane(event.service);
    auto *former = laneOf(event.worker);
    if (former && former != &home)
        former->workers().remove(event.worker);
    m_workers[event.worker] = &home;
    home.workers().add(event);
    dispatch(event.service, now, actions);
}

void request_scheduler::on(const worker_slots_confirmed &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto *home = laneOf(event.worker);
    if (!home)
        return;
    home->workers().confirm(event.worker, event.occupied);
    dispatch(home->service(), now, actions);
}

void request_scheduler::on(const worker_leaving &event, time_point, std::vector<request_action> &)
{
    if (auto *home = laneOf(event.worker))
        home->workers().leave(event.worker);
}

void request_scheduler::on(const worker_removed &event, time_point, std::vector<request_action> &)
{
    if (auto *home = laneOf(event.worker))
        home->workers().remove(event.worker);
    m_workers.erase(event.worker);
}

void request_scheduler::on(const request_arrived &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto *request = m_requests.add(event);
    if (!request)
        return;
    lane(event.service).arrive(*request, now, actions);
    dispatch(event.service, now, actions);
}

void request_scheduler::on(const request_cancelled &event, time_point,
                           std::vector<request_action> &)
{
    // Nothing is freed by a request that waited, so a wave of these costs no dispatch each.
    if (auto *request = m_requests.find(event.request))
        request->lane->cancel(*request);
}

void request_scheduler::on(const request_ended &event, time_point now,
                           std::vector<request_action> &actions)
{
    auto *request = m_requests.find(event.request);
    if (!request || request->phase != request_phase::Running)
        return;
    const auto service = request->arrival.service;
    request->lane->end(*request, event.outcome, now, actions);
    dispatch(service, now, actions);
}

service_lane &request_scheduler::lane(service_id service)
{
    auto &found = m_lanes[service];
    if (!found)
        found = std::make_unique<service_lane>(service, m_limits, m_requests);
    return *found;
}

const service_lane *request_scheduler::findLane(service_id service) const
{
    const auto found = m_lanes.find(service);
    return found == m_lanes.end() ? nullptr : found->second.get();
}

service_lane *request_scheduler::laneOf(worker_id worker)
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : found->second;
}

void request_scheduler::dispatch(service_id service, time_point now,
                                 std::vector<request_action> &actions)
{
    if (!lane(service).dispatch(now, actions)) {
        m_unfinished.erase(service);
        return;
    }
    m_unfinished.insert(service);
    m_unfinishedSince = now;
}

// Each accepted request is in exactly one state: the states' counts make up the whole.
void request_scheduler::checkCounts() const
{
    PLANTAINGAP_INVARIANT(waiting() + running() == m_requests.size(),
                          "requests do not add up to waiting and running");
}

} // namespace plantaingap::decision
