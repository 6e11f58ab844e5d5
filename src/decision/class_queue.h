#ifndef PLANTAINGAP_DECISION_CLASS_QUEUE_H
#define PLANTAINGAP_DECISION_CLASS_QUEUE_H

#include "decision/request_state.h"

#include <boost/intrusive/list.hpp>

namespace plantaingap::decision {

// The waiting requests of one service and class, in order of arrival, and how fast they leave.
// Adding and removing anywhere takes constant time.
class class_queue
{
public:
    bool empty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }
    request_state &front() { return m_requests.front(); }
    const request_state &front() const { return m_requests.front(); }

    void pushBack(request_state &request) { m_requests.push_back(request); }
    // For a request that was sent before and goes again.
    void pushFront(request_state &request) { m_requests.push_front(request); }
    void remove(request_state &request);

    // The front request is about to be sent; measures the time between starts of a backlog.
    void noteStart(time_point now);

    // How long a request waits that has so many before it, at the rate of late; zero when there
    // was no backlog yet to measure.
    duration expectedWait(std::size_t ahead) const;

private:
    boost::intrusive::list<request_state> m_requests;
    duration m_gap {};
    time_point m_lastStart {};
    bool m_backlogged = false;
};

} // namespace plantaingap::decision

#endif
