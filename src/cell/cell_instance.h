#ifndef PLANTAINGAP_CELL_CELL_INSTANCE_H
#define PLANTAINGAP_CELL_CELL_INSTANCE_H

#include "cell/leader.h"
#include "cell/leadership.h"
#include "cell/peer_link.h"
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
    // Also where other instances call this one.
    std::string peerListen;
    // Callers' connections; more are closed at once.
    std::size_t callerConnections = 2048;
    leader_options leader;
    // Waits this much longer before it takes the cell over.
    std::chrono::milliseconds takeOverDelay {0};
    // From SIGTERM until new connections are no longer taken, and until the process ends.
    std::chrono::milliseconds stopAcceptAfter {2600};
    std::chrono::milliseconds stopDeadline {4800};
};

// One instance of a cell: takes callers' requests, answers them when it leads, else passes them to
// the leader, and takes over when the leader is gone.
class cell_instance
{
public:
    // The header in which callers say how many milliseconds they wait.
    static constexpr std::string_view deadlineHeader = "Plantaingap-Deadline-Ms";

    cell_instance(boost::asio::io_context &context, instance_options options, table_store &store,
                  worker_gateway &workers, step_advisor &advisor, const caller_codec &codec,
                  platform_tables tables);

    // Binds all listeners and begins.
    std::error_code start();
    // A planned stop: gives way, answers what was taken, then calls back.
    void stop(std::function<void()> stopped);

private:
    awaitable<void> lead(leader_row row, std::uint64_t revision);
    awaitable<void> live();
    awaitable<void> follow();
    awaitable<void> beat(std::string address, std::uint64_t term);
    void doubtLeader();
    awaitable<bool> readRow();
    awaitable<bool> takeOver();
    awaitable<void> finishStop(std::function<void()> stopped);
    awaitable<support::http_response> serveCaller(support::http_request request);
    awaitable<caller_answer> passOn(caller_call call);
    awaitable<support::http_response> serveReady(support::http_request request);
    awaitable<void> pause(std::chrono::milliseconds span);
    bool serving() const;
    std::string metrics() const;

    boost::asio::io_context &m_context;
    instance_options m_options;
    table_store &m_store;
    peer_link m_peers;
    cell_ports m_ports;
    support::http_server m_callers;
    support::http_server m_ready;
    // Cut short when there is reason to look at the leader's row.
    boost::asio::steady_timer m_followWake;
    leadership_watch m_watch;
    std::shared_ptr<leader> m_leader;
    // How long the store took to answer the last read of the leader's row.
    std::chrono::milliseconds m_storeDelay {20};
    // A heartbeat has no answer yet.
    bool m_beating = false;
    bool m_stopping = false;
    std::uint64_t m_callerRequests = 0;
    std::uint64_t m_relayFailures = 0;
    std::uint64_t m_unanswerable = 0;
};

} // namespace plantaingap::cell

#endif
