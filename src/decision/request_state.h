#ifndef PLANTAINGAP_DECISION_REQUEST_STATE_H
#define PLANTAINGAP_DECISION_REQUEST_STATE_H

#include <boost/intrusive/list_hook.hpp>
#include <optional>
#include <plantaingap/request_scheduler.h>
#include <set>
#include <unordered_map>
#include <utility>

namespace plantaingap::decision {

class service_scheduler;

enum class request_phase : std::uint8_t { Waiting, Running };

// State of one accepted request.
struct request_state : boost::intrusive::list_base_hook<>
{
    request_arrived arrival;
    service_scheduler *scheduler = nullptr;
    request_phase phase = request_phase::Waiting;
    // The class under which the request is queued and counted; may exceed the declared class.
    work_class assignedClass = work_class::Normal;
    std::uint32_t sends = 0;
    // A worker may have run the request, so a refusal must not claim that it was not run.
    bool mayHaveRun = false;
    bool cancelled = false;
    bool probe = false;
    worker_id worker {};
    // The registration of the worker at the time of the send. A worker that was removed and added
    // again has a new registration, and its slots are counted anew.
    std::uint64_t registration = 0;
    time_point arrivedAt {};
    time_point sentAt {};
    // The class that was recorded in the class estimator for the current send.
    std::optional<work_class> recordedClass;
    // Expiry of the active timer: the deadline while waiting, the limit of the class while running.
    std::optional<time_point> timer;
};

// The accepted requests by id, and their timers ordered by expiry.
class request_table
{
public:
    // Returns the new entry, or null when the id is in use.
    request_state *add(const request_arrived &arrival);
    request_state *find(request_id request);
    void erase(request_state &request);

    void setTimer(request_state &request, std::optional<time_point> expiry);
    std::optional<time_point> nextTimer() const;
    // Clears the earliest timer that has expired and returns its request; null when there is none.
    request_state *popExpired(time_point now);

    std::size_t size() const { return m_requests.size(); }

private:
    std::unordered_map<request_id, request_state> m_requests;
    std::set<std::pair<time_point, request_id>> m_timers;
};

} // namespace plantaingap::decision

#endif
