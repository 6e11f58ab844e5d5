#ifndef PLANTAINGAP_DECISION_CLASS_QUEUE_H
#define PLANTAINGAP_DECISION_CLASS_QUEUE_H

#include "decision/request_state.h"

#include <boost/intrusive/list.hpp>

namespace plantaingap::decision {

// Queue of the waiting requests of one service and class, in order of arrival, with an estimate of
// its drain rate. Inserting and removing at any position takes constant time.
class class_queue
{
public:
    bool empty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }
    request_state &front() { return m_requests.front(); }
    const request_state &front() const { return m_requests.front(); }

    void pushBack(request_state &request) { m_requests.push_back(request); }
    // For a request that is resent.
    void pushFront(request_state &request) { m_requests.push_front(request); }
    void remove(request_state &request);

    // Call before the front request is sent. Measures the interval between starts while requests
    // are waiting.
    void recordStart(time_point now);

    // Expected wait of a request behind this many others, at the recent drain rate; zero while no
    // backlog has been measured.
    duration expectedWait(std::size_t ahead) const;

private:
    boost::intrusive::list<request_state> m_requests;
    duration m_startInterval {};
    time_point m_lastStart {};
    bool m_backlogged = false;
};

} // namespace plantaingap::decision

#endif
