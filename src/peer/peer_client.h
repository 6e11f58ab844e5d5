#ifndef PLANTAINGAP_PEER_PEER_CLIENT_H
#define PLANTAINGAP_PEER_PEER_CLIENT_H

#include "peer/peer_message.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantaingap::peer {

// Calls other instances over gRPC. Used only on the thread of its io_context, where callbacks run
// as well. Calls are never retried.
class peer_client
{
public:
    // Receives the peer's own heartbeat, or nothing if the call failed.
    using heartbeat_callback = std::function<void(std::optional<peer_heartbeat>)>;
    using forward_callback = std::function<void(forward_result &&)>;

    explicit peer_client(boost::asio::io_context &context);
    ~peer_client();

    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    // Sets the address of an instance, as IP:PORT, and replaces a previous one.
    void setAddress(instance_id peer, const std::string &address);

    // Does nothing, and never calls back, if the address of the peer is not set.
    void sendHeartbeat(instance_id peer, const peer_heartbeat &heartbeat, time_point deadline,
                       heartbeat_callback callback);
    void forward(const forward_call &call, forward_callback callback);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantaingap::peer

#endif
