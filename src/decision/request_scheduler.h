#ifndef PLANTAINGAP_DECISION_REQUEST_SCHEDULER_H
#define PLANTAINGAP_DECISION_REQUEST_SCHEDULER_H

#include "decision/request_state.h"
#include "decision/service_scheduler.h"

#include <map>
#include <memory>

namespace plantaingap::decision {

// Schedules the requests of one group. Each service has its own service_scheduler with a queue per
// class and an index of free slots. A step takes time logarithmic in the numbers of waiting
// requests and workers, and returns at most request_limits::maxActionsPerStep actions; if more are
// possible, nextDeadline() is due immediately. benchmarks/request_policy.cpp measures the policy.
class request_scheduler
{
public:
    explicit request_scheduler(const request_limits &limits);

    // Handles one event and appends the actions, which are to be executed in order.
    void step(const request_event &event, time_point now, std::vector<request_action> &actions);

    // Latest time at which expire() must be called if no event occurs before.
    std::optional<time_point> nextDeadline() const;

    // Refuses requests whose deadline has passed, reclassifies requests that run longer than their
    // class allows, and continues dispatch that an earlier step left unfinished.
    void expire(time_point now, std::vector<request_action> &actions);

    // Queued requests of all services and classes.
    std::size_t waiting() const;

    // Requests sent to a worker that have not ended.
    std::size_t running() const;

    // Queued requests of one service and class.
    std::size_t waiting(service_id service, work_class workClass) const;

    // Free slots of the available workers of the service.
    std::uint32_t freeSlots(service_id service) const;

    // Quarantined workers of the service; these get only probe requests.
    std::size_t quarantined(service_id service) const;

private:
    void on(const worker_added &event, time_point now, std::vector<request_action> &actions);
    void on(const worker_slots_confirmed &event, time_point now,
            std::vector<request_action> &actions);
    void on(const worker_leaving &event, time_point now, std::vector<request_action> &actions);
    void on(const worker_removed &event, time_point now, std::vector<request_action> &actions);
    void on(const request_arrived &event, time_point now, std::vector<request_action> &actions);
    void on(const request_cancelled &event, time_point now, std::vector<request_action> &actions);
    void on(const request_ended &event, time_point now, std::vector<request_action> &actions);

    service_scheduler &schedulerFor(service_id service);
    const service_scheduler *findScheduler(service_id service) const;
    service_scheduler *schedulerOf(worker_id worker);
    void dispatch(service_id service, time_point now, std::vector<request_action> &actions);
    void checkCounts() const;

    request_limits m_limits;
    // Declared before m_services, whose queues link the entries of this table.
    request_table m_requests;
    std::map<service_id, std::unique_ptr<service_scheduler>> m_services;
    std::unordered_map<worker_id, service_scheduler *> m_workers;
    // Services whose dispatch reached the bound of a step, and the time of the last such step.
    std::set<service_id> m_unfinished;
    time_point m_unfinishedSince {};
};

} // namespace plantaingap::decision

#endif
