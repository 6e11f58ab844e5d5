#ifndef PLANTAINGAP_DECISION_REQUEST_SCHEDULER_H
#define PLANTAINGAP_DECISION_REQUEST_SCHEDULER_H

#include <deque>
#include <map>
#include <plantaingap/request_scheduler.h>
#include <unordered_map>

namespace plantaingap::decision {

// One queue per class, quick first; the free worker with the most free slots.
class request_scheduler
{
public:
    explicit request_scheduler(const request_limits &limits);

    // Takes one event and appends what is to be done. Actions of one step are carried out in order.
    void step(const request_event &event, time_point now, std::vector<request_action> &actions);

    // When step-less time passes, expire() must be called at this time at the latest.
    std::optional<time_point> nextDeadline() const;

    // Refuses what has waited past its deadline.
    void expire(time_point now, std::vector<request_action> &actions);

    // Requests that wait, over all services and classes.
    std::size_t waiting() const { return m_waiting; }

    // Requests that are on a worker.
    std::size_t running() const { return m_running; }

    // Slots that could take a request of this service now.
    std::uint32_t freeSlots(service_id service) const;

private:
    struct worker_state
    {
        service_id service {};
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        bool leaving = false;
    };

    struct request_state
    {
        request_arrived arrival;
        std::uint32_t sends = 0;
        std::optional<worker_id> worker;
    };

    using queue = std::deque<request_id>;

    void on(const worker_added &event, time_point now, std::vector<request_action> &actions);
    void on(const worker_slots_confirmed &event, time_point now,
            std::vector<request_action> &actions);
    void on(const worker_leaving &event, time_point now, std::vector<request_action> &actions);
    void on(const worker_removed &event, time_point now, std::vector<request_action> &actions);
    void on(const request_arrived &event, time_point now, std::vector<request_action> &actions);
    void on(const request_cancelled &event, time_point now, std::vector<request_action> &actions);
    void on(const request_ended &event, time_point now, std::vector<request_action> &actions);
    void dispatch(service_id service, time_point now, std::vector<request_action> &actions);
    std::optional<worker_id> freeWorker(service_id service) const;
    void refuse(request_id request, errc code, time_point now,
                std::vector<request_action> &actions);

    request_limits m_limits;
    std::map<worker_id, worker_state> m_workers;
    std::unordered_map<request_id, request_state> m_requests;
    std::map<std::pair<service_id, work_class>, queue> m_queues;
    std::multimap<time_point, request_id> m_deadlines;
    std::size_t m_waiting = 0;
    std::size_t m_running = 0;
};

} // namespace plantaingap::decision

#endif
