#ifndef PLANTAINGAP_PEER_PEER_SERVER_H
#define PLANTAINGAP_PEER_PEER_SERVER_H

#include "peer/peer_message.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace plantaingap::peer {

// Receives heartbeats and forwarded requests from other instances over gRPC. The handlers run on
// the thread of the io_context; each must call its reply callback exactly once, on that thread.
class peer_server
{
public:
    using heartbeat_reply = std::function<void(const peer_heartbeat &)>;
    using forward_reply = std::function<void(const service_response &)>;

    struct handlers
    {
        std::function<void(peer_heartbeat &&, heartbeat_reply)> heartbeat;
        std::function<void(service_request &&, group_id, forward_reply)> forward;
    };

    peer_server(boost::asio::io_context &context, handlers callbacks);
    ~peer_server();

    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    // Binds IP:PORT and starts serving. Port 0 selects a free port, which port() returns.
    std::error_code listen(const std::string &address);
    std::uint16_t port() const;

    // Rejects new calls and cancels pending ones at the deadline. Blocks until all have finished;
    // the io_context must run meanwhile.
    void stop(time_point deadline);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantaingap::peer

#endif
