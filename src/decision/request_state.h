#ifndef PLANTAINGAP_DECISION_REQUEST_STATE_H
#define PLANTAINGAP_DECISION_REQUEST_STATE_H

#include <boost/intrusive/list_hook.hpp>
#include <optional>
#include <plantaingap/request_scheduler.h>
#include <set>
#include <unordered_map>
#include <utility>

namespace plantaingap::decision {

class service_lane;

enum class request_phase : std::uint8_t { Waiting, Running };

// What the scheduler knows of one accepted request.
struct request_state : boost::intrusive::list_base_hook<>
{
    request_arrived arrival;
    service_lane *lane = nullptr;
    request_phase phase = request_phase::Waiting;
    // The class it is queued and counted under; what was declared is only where it starts.
    work_class charged = work_class::Normal;
    std::uint32_t sends = 0;
    // An earlier send may have run: "not run" may no longer be said.
    bool mayHaveRun = false;
    bool cancelled = false;
    bool probe = false;
    worker_id worker {};
    // Which stay of the worker it was sent in; a worker that came back has other slots.
    std::uint64_t stay = 0;
    time_point arrivedAt {};
    time_point sentAt {};
    // The class that this send has taught the size estimate already.
    std::optional<work_class> learned;
    // When a timer was set: a deadline while waiting, an overrun while running.
    std::optional<time_point> timer;
};

// All accepted requests by id, and their timers in order.
class request_table
{
public:
    // A new entry, or null when the id is in use.
    request_state *add(const request_arrived &arrival);
    request_state *find(request_id request);
    void erase(request_state &request);

    void setTimer(request_state &request, std::optional<time_point> at);
    std::optional<time_point> nextTimer() const;
    // The request whose timer is due, with the timer taken off; null when none is.
    request_state *takeDue(time_point now);

    std::size_t size() const { return m_requests.size(); }

private:
    std::unordered_map<request_id, request_state> m_requests;
    std::set<std::pair<time_point, request_id>> m_timers;
};

} // namespace plantaingap::decision

#endif
