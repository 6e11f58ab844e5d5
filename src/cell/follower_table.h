#ifndef PLANTAINGAP_CELL_FOLLOWER_TABLE_H
#define PLANTAINGAP_CELL_FOLLOWER_TABLE_H

#include "cell/peer_transport.h"

#include <chrono>
#include <map>
#include <plantaingap/time.h>
#include <set>
#include <string>

namespace plantaingap::cell {

// The followers of a leader and the rate of their heartbeats. It targets cells of hundreds of
// instances, where heartbeats of all followers at the rate that a fast takeover needs would take a
// large part of the leader's processor time. The followers that would take over first keep that
// rate; the others share what a fixed number of heartbeats a second leaves.
class follower_table
{
public:
    // Records a heartbeat and returns the time until the follower's next one.
    std::chrono::milliseconds heartbeatReceived(const heartbeat_request &request, time_point now);
    // A follower that could lead has sent a heartbeat recently.
    bool hasCapableFollower(time_point now) const;
    // The peer address of a follower, empty if it is unknown.
    std::string address(const std::string &instance) const;

private:
    struct follower
    {
        std::string address;
        std::chrono::milliseconds takeoverDelay {0};
        bool canLead = false;
        time_point lastHeartbeat {};
    };

    std::map<std::string, follower> m_followers;
    // The followers that would take over first, as of the last review.
    std::set<std::string> m_successors;
    time_point m_reviewedAt {};

    void review(time_point now);
};

} // namespace plantaingap::cell

#endif
