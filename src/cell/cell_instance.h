#ifndef PLANTAINGAP_CELL_CELL_INSTANCE_H
#define PLANTAINGAP_CELL_CELL_INSTANCE_H

#include "cell/leader.h"
#include "cell/leadership.h"
#include "cell/peer_transport.h"
#include "support/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace plantaingap::cell {

struct instance_options
{
    std::string instance;
    boost::asio::ip::tcp::endpoint callerListen;
    boost::asio::ip::tcp::endpoint readyListen;
    // IP:PORT; also sent to other instances as this instance's peer address.
    std::string peerListen;
    // Caller connections above this limit are closed at once.
    std::size_t maxCallerConnections = 2048;
    leader_options leader;
    // Additional wait before this instance takes over.
    std::chrono::milliseconds takeoverDelay {0};
    // From SIGTERM until the instance stops accepting connections, and until the process ends.
    std::chrono::milliseconds stopAcceptDelay {2600};
    std::chrono::milliseconds stopDeadline {4800};
};

// One instance of a cell. Serves callers' requests itself while it leads, otherwise forwards them
// to the leader, and takes over when the leader is lost.
class cell_instance
{
public:
    // Request header with the caller's timeout in milliseconds.
    static constexpr std::string_view deadlineHeader = "Plantaingap-Deadline-Ms";

    cell_instance(boost::asio::io_context &context, instance_options options, table_store &store,
                  worker_gateway &workers, step_advisor &advisor, const platform_codec &codec,
                  platform_tables tables);

    // Binds all listeners and starts serving.
    std::error_code start();
    // Planned stop: resigns if leading, completes open requests, then calls `stopped`.
    void stop(std::function<void()> stopped);

private:
    // Leads for one term, until another instance leads or this one has resigned.
    awaitable<void> runTerm(leader_row row, std::uint64_t revision);
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
    awaitable<void> finishStop(std::function<void()> stopped);
    awaitable<support::http_response> serveCaller(support::http_request request);
    // Serves the request if this instance leads, otherwise forwards it to the leader. Retries until
    // a leader responds or waiting is of no use.
    awaitable<caller_response> routeRequest(caller_request request);
    awaitable<support::http_response> serveReady(support::http_request request);
    awaitable<void> sleepFor(std::chrono::milliseconds period);
    bool isReady() const;
    std::string metrics() const;

    boost::asio::io_context &m_context;
    instance_options m_options;
    table_store &m_store;
    peer_transport m_peerTransport;
    cell_ports m_ports;
    support::http_server m_callerServer;
    support::http_server m_readyServer;
    // Cancelled when the leader's row should be read at once.
    boost::asio::steady_timer m_followTimer;
    leadership_monitor m_leadershipMonitor;
    std::shared_ptr<leader> m_leader;
    // Duration of the last successful read of the leader's row.
    std::chrono::milliseconds m_rowReadTime {20};
    // A heartbeat is waiting for its reply.
    bool m_heartbeatPending = false;
    bool m_stopping = false;
    std::uint64_t m_callerRequests = 0;
    std::uint64_t m_forwardFailures = 0;
    std::uint64_t m_requestsNotAnswered = 0;
};

} // namespace plantaingap::cell

#endif
