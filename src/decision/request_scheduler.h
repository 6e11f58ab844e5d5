#ifndef PLANTAINGAP_DECISION_REQUEST_SCHEDULER_H
#define PLANTAINGAP_DECISION_REQUEST_SCHEDULER_H

#include "decision/request_state.h"
#include "decision/service_lane.h"

#include <map>
#include <memory>

namespace plantaingap::decision {

// Schedules the requests of one group: every service has a lane with queues by class and an index
// of free slots. A step costs the logarithm of what waits and of the workers, and takes at most
// request_limits::actionsPerStep actions; what is left over is due at once in nextDeadline().
// Measured by benchmarks/request_policy.cpp.
class request_scheduler
{
public:
    explicit request_scheduler(const request_limits &limits);

    // Takes one event and appends what is to be done. Actions of one step are carried out in order.
    void step(const request_event &event, time_point now, std::vector<request_action> &actions);

    // When step-less time passes, expire() must be called at this time at the latest.
    std::optional<time_point> nextDeadline() const;

    // Refuses what has waited past its deadline, notes what runs longer than its class, and goes
    // on with what an earlier step left over.
    void expire(time_point now, std::vector<request_action> &actions);

    // Requests that wait, over all services and classes.
    std::size_t waiting() const;

    // Requests that are on a worker.
    std::size_t running() const;

    // Requests of one service that wait under a class.
    std::size_t waiting(service_id service, work_class name) const;

    // Slots that could take a request of this service now.
    std::uint32_t freeSlots(service_id service) const;

    // Workers of this service that get nothing but probes.
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

    service_lane &lane(service_id service);
    const service_lane *findLane(service_id service) const;
    service_lane *laneOf(worker_id worker);
    void dispatch(service_id service, time_point now, std::vector<request_action> &actions);
    void checkCounts() const;

    request_limits m_limits;
    // Declared before the lanes, whose queues link its entries.
    request_table m_requests;
    std::map<service_id, std::unique_ptr<service_lane>> m_lanes;
    std::unordered_map<worker_id, service_lane *> m_workers;
    // Services that a step left before all was sent, and the time of that step.
    std::set<service_id> m_unfinished;
    time_point m_unfinishedSince {};
};

} // namespace plantaingap::decision

#endif
