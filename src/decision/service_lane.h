#ifndef PLANTAINGAP_DECISION_SERVICE_LANE_H
#define PLANTAINGAP_DECISION_SERVICE_LANE_H

#include "decision/class_queue.h"
#include "decision/class_shares.h"
#include "decision/request_state.h"
#include "decision/retry_budget.h"
#include "decision/size_estimate.h"
#include "decision/worker_pool.h"

#include <array>

namespace plantaingap::decision {

// The requests and workers of one service. Services share nothing, so a flood of one delays no
// other.
class service_lane
{
public:
    service_lane(service_id service, const request_limits &limits, request_table &requests);

    service_id service() const { return m_service; }

    worker_pool &workers() { return m_workers; }
    const worker_pool &workers() const { return m_workers; }
    const class_shares &shares() const { return m_shares; }

    void arrive(request_state &request, time_point now, std::vector<request_action> &actions);
    void cancel(request_state &request);
    void end(request_state &request, send_outcome outcome, time_point now,
             std::vector<request_action> &actions);
    // The request's timer fired: it waited past its deadline, or holds its slot for longer than
    // its class does.
    void timeout(request_state &request, time_point now, std::vector<request_action> &actions);

    // Sends what may be sent, up to the bound of a step. True when there may be more to send.
    bool dispatch(time_point now, std::vector<request_action> &actions);

private:
    class_queue &queue(work_class name) { return m_queues[static_cast<std::size_t>(name)]; }
    work_class classify(const request_arrived &arrival) const;
    bool mayQueue(const request_arrived &arrival, work_class name, time_point now);
    bool withinWindow(const request_arrived &arrival) const;
    void charge(request_state &request, work_class name);
    void discharge(const request_state &request);

    void enqueue(request_state &request);
    void dequeue(request_state &request);
    std::optional<work_class> nextClass(time_point now) const;
    duration oldestWait(work_class name, time_point now) const;
    void advance(work_class name, time_point now, std::vector<request_action> &actions);
    void send(request_state &request, time_point now, std::vector<request_action> &actions);
    void setOverrunTimer(request_state &request);
    void overrun(request_state &request, time_point now);
    void learn(request_state &request, work_class seen, time_point now);
    void finishSend(request_state &request, send_outcome outcome, time_point now);
    bool maySendAgain(const request_state &request, send_outcome outcome);
    void refuse(request_state &request, errc code, time_point retryAt,
                std::vector<request_action> &actions);
    void erase(request_state &request);
    time_point retryHint(work_class name, time_point now);

    service_id m_service;
    request_limits m_limits;
    request_table &m_requests;
    worker_pool m_workers;
    class_shares m_shares;
    size_estimate m_sizes;
    retry_budget m_retries;
    std::array<class_queue, 3> m_queues;
    // Requests counted as quick, by kind and caller.
    std::unordered_map<kind_caller, std::uint32_t, kind_caller_hash> m_quick;
};

} // namespace plantaingap::decision

#endif
