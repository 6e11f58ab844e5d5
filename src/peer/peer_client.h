#ifndef PLANTAINGAP_PEER_PEER_CLIENT_H
#define PLANTAINGAP_PEER_PEER_CLIENT_H

#include "peer/peer_message.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantaingap::peer {

// Calls other instances over gRPC. Used on the thread of its io_context, where the ends of calls
// are told as well. Nothing is sent twice here.
class peer_client
{
public:
    // The peer's own heartbeat, or nothing when the call failed.
    using heartbeat_end = std::function<void(std::optional<peer_heartbeat>)>;
    using forward_end = std::function<void(forward_ended &&)>;

    explicit peer_client(boost::asio::io_context &context);
    ~peer_client();

    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    // IP:PORT of an instance; a new address replaces an older one.
    void add(instance_id peer, const std::string &address);

    void beat(instance_id peer, const peer_heartbeat &heartbeat, time_point deadline,
              heartbeat_end end);
    void forward(const forward_order &order, forward_end end);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantaingap::peer

#endif
