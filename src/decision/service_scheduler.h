#ifndef PLANTAINGAP_DECISION_SERVICE_SCHEDULER_H
#define PLANTAINGAP_DECISION_SERVICE_SCHEDULER_H

#include "decision/class_estimator.h"
#include "decision/class_queue.h"
#include "decision/class_slot_allocator.h"
#include "decision/request_state.h"
#include "decision/retry_budget.h"
#include "decision/worker_pool.h"

#include <array>

namespace plantaingap::decision {

// Schedules the requests of one service on its workers. Services share no state, so overload of one
// does not delay the others.
class service_scheduler
{
public:
    service_scheduler(service_id service, const request_limits &limits, request_table &requests);

    service_id service() const { return m_service; }

    worker_pool &workers() { return m_workers; }
    const worker_pool &workers() const { return m_workers; }
    const class_slot_allocator &slotAllocator() const { return m_slotAllocator; }

    void onArrival(request_state &request, time_point now, std::vector<request_action> &actions);
    void cancel(request_state &request);
    void onEnd(request_state &request, send_outcome outcome, time_point now,
               std::vector<request_action> &actions);
    // The timer of the request expired: its deadline passed while it was waiting, or it has held
    // its slot for longer than its class allows.
    void onTimer(request_state &request, time_point now, std::vector<request_action> &actions);

    // Sends waiting requests, up to the bound of a step. True when more may be sent.
    bool dispatch(time_point now, std::vector<request_action> &actions);

private:
    class_queue &queue(work_class workClass)
    {
        return m_queues[static_cast<std::size_t>(workClass)];
    }
    work_class classify(const request_arrived &arrival) const;
    bool canQueue(const request_arrived &arrival, work_class workClass, time_point now);
    bool withinQuickLimit(const request_arrived &arrival) const;
    void assignClass(request_state &request, work_class workClass);
    void unassignClass(const request_state &request);

    void enqueue(request_state &request);
    void dequeue(request_state &request);
    std::optional<work_class> nextClass(time_point now) const;
    duration oldestWait(work_class workClass, time_point now) const;
    void processFront(work_class workClass, time_point now, std::vector<request_action> &actions);
    void send(request_state &request, time_point now, std::vector<request_action> &actions);
    void setOverrunTimer(request_state &request);
    void onOverrun(request_state &request, time_point now);
    void recordClass(request_state &request, work_class observed, time_point now);
    void finishSend(request_state &request, send_outcome outcome, time_point now);
    bool tryRetry(const request_state &request, send_outcome outcome);
    void refuse(request_state &request, errc code, time_point retryAt,
                std::vector<request_action> &actions);
    void erase(request_state &request);
    time_point retryHint(work_class workClass, time_point now);

    service_id m_service;
    request_limits m_limits;
    request_table &m_requests;
    worker_pool m_workers;
    class_slot_allocator m_slotAllocator;
    class_estimator m_classEstimator;
    retry_budget m_retries;
    std::array<class_queue, 3> m_queues;
    // Number of open requests assigned to the quick class, by kind and caller.
    std::unordered_map<kind_caller, std::uint32_t, kind_caller_hash> m_openQuick;
};

} // namespace plantaingap::decision

#endif
