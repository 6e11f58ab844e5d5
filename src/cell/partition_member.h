#ifndef PLANTAINGAP_CELL_PARTITION_MEMBER_H
#define PLANTAINGAP_CELL_PARTITION_MEMBER_H

#include "cell/cell_layout.h"
#include "cell/leader.h"
#include "cell/leadership.h"
#include "cell/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace plantaingap::cell {

struct member_options
{
    std::string instance;
    // IP:PORT; also sent to other instances as this instance's peer address.
    std::string peerListen;
    // Additional wait before this instance takes the partition over.
    std::chrono::milliseconds takeoverDelay {0};
    leader_options leader;
};

// An instance's part in one partition of the cell: follows the partition's leader, forwards
// requests to it, and takes over when it is lost.
class partition_member
{
public:
    // leadsElsewhere returns the number of other partitions that this instance leads.
    partition_member(boost::asio::io_context &context, member_options options, cell_ports ports,
                     std::function<std::uint32_t()> leadsElsewhere);

    void start();
    // Resigns if leading, and takes over no more.
    void stop();

    bool leads() const { return m_leader != nullptr; }
    // This instance leads, or has heard from the leader recently.
    bool hasLeader() const;
    heartbeat_reply handleHeartbeat(const heartbeat_request &request);
    // Handles a request that another instance forwarded.
    awaitable<caller_response> handleRequest(caller_request request);
    // Handles another partition's request for shares of the workspaces' limits.
    awaitable<jobs::limit_reply> handleLimitRequest(jobs::limit_request request);
    // Serves the request if this instance leads, otherwise forwards it to the leader. Retries until
    // a leader responds or waiting is of no use.
    awaitable<caller_response> routeRequest(caller_request request);
    // Metrics of the leader, empty if this instance does not lead.
    std::string metrics() const;
    std::uint64_t forwardFailures() const { return m_forwardFailures; }
    std::uint64_t requestsNotAnswered() const { return m_requestsNotAnswered; }

private:
    // Leads for one term, until another instance leads or this one has resigned.
    awaitable<void> runTerm(leader_row row, std::uint64_t revision, time_point claimSentAt);
    // Alternates between following a leader and trying to take over.
    awaitable<void> electionLoop();
    awaitable<void> followLeader();
    awaitable<void> sendHeartbeat(std::string address, std::uint64_t term);
    // Marks the leader unresponsive and reads its row at once.
    void verifyLeader();
    // Returns whether the store returned the row or that there is none.
    awaitable<bool> readLeaderRow();
    // Writes the leader row and runs the term; false if the write was not applied.
    awaitable<bool> takeOver();
    // Another instance would be a better leader, and this one has not yielded recently.
    bool shouldYield() const;
    // How long this instance leaves the partition to others that are better placed.
    std::chrono::milliseconds takeoverDelay() const;
    // Sends the request to the current leader; empty if none is known.
    awaitable<std::optional<caller_response>> sendToLeader(caller_request request,
                                                           time_point giveUpAt, bool &ambiguous);
    caller_response unanswered(const caller_request &request, bool ambiguous);
    awaitable<void> sleepFor(std::chrono::milliseconds period);

    boost::asio::io_context &m_context;
    member_options m_options;
    cell_ports m_ports;
    std::function<std::uint32_t()> m_leadsElsewhere;
    row_key m_leaderKey;
    // Cancelled when the leader's row should be read at once.
    boost::asio::steady_timer m_followTimer;
    leadership_monitor m_monitor;
    std::shared_ptr<leader> m_leader;
    // Duration of the last successful read of the leader's row.
    std::chrono::milliseconds m_rowReadTime {20};
    // A heartbeat is waiting for its reply.
    bool m_heartbeatPending = false;
    // Interval that the leader asked for, and when the next heartbeat is due.
    std::chrono::milliseconds m_heartbeatInterval {0};
    time_point m_heartbeatDueAt {};
    bool m_stopping = false;
    // After yielding: when this instance may take over again, and when it may yield again.
    time_point m_takeOverAfter {};
    time_point m_yieldAfter {};
    std::uint64_t m_forwardFailures = 0;
    std::uint64_t m_requestsNotAnswered = 0;
};

} // namespace plantaingap::cell

#endif
