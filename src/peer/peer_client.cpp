#include "peer/peer_client.h"

#include "peer/peer_codec.h"

#include <boost/asio/post.hpp>
#include <grpcpp/create_channel.h>
#include <map>
#include <peer.grpc.pb.h>

namespace plantaingap::peer {

namespace asio = boost::asio;

namespace {

constexpr int maxMessageBytes = 80 << 20;
// Bounds how long a peer that has become reachable again stays disconnected.
constexpr int maxReconnectBackoffMs = 1000;
constexpr int initialReconnectBackoffMs = 100;
// The owner responds by the deadline of the request; this is the allowance for its response to
// arrive.
constexpr std::chrono::milliseconds forwardGrace {500};

std::chrono::system_clock::time_point wallDeadline(time_point deadline)
{
    const auto remaining = deadline - clock::now();
    return std::chrono::system_clock::now()
           + std::chrono::duration_cast<std::chrono::system_clock::duration>(remaining);
}

// The state of one call, which must outlive it.
template<class Request, class Reply>
struct call_state
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

} // namespace

struct peer_client::state
{
    explicit state(asio::io_context &io)
        : context(io)
    { }

    asio::io_context &context;
    std::map<instance_id, std::unique_ptr<wire::peer::Stub>> stubs;
};

peer_client::peer_client(asio::io_context &context)
    : m_state(std::make_shared<state>(context))
{ }

peer_client::~peer_client() = default;

void peer_client::setAddress(instance_id peer, const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // Instances connect to each other by IP address, without a proxy.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    m_state->stubs[peer] = wire::peer::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void peer_client::sendHeartbeat(instance_id peer, const peer_heartbeat &heartbeat,
                                time_point deadline, heartbeat_callback callback)
{
    const auto found = m_state->stubs.find(peer);
    if (found == m_state->stubs.end())
        return;
    auto pending = std::make_shared<call_state<wire::heartbeat, wire::heartbeat>>();
    encode(heartbeat, pending->request);
    pending->context.set_deadline(wallDeadline(deadline));
    found->second->async()->Beat(
        &pending->context, &pending->request, &pending->reply,
        [self = m_state, pending, callback = std::move(callback)](const grpc::Status &status) {
            asio::post(self->context, [pending, callback, succeeded = status.ok()] {
                if (succeeded)
                    callback(decode(pending->reply, clock::now()));
                else
                    callback(std::nullopt);
            });
        });
}

void peer_client::forward(const forward_call &call, forward_callback callback)
{
    forward_result result {call.request->id, call.owner, call.group, nullptr, false};
    const auto found = m_state->stubs.find(call.owner);
    if (found == m_state->stubs.end()) {
        result.notSent = true;
        asio::post(m_state->context, [callback = std::move(callback), result]() mutable {
            callback(std::move(result));
        });
        return;
    }
    auto pending = std::make_shared<call_state<wire::forward_request, wire::forward_reply>>();
    encode(call, clock::now(), pending->request);
    pending->context.set_deadline(wallDeadline(call.request->deadline + forwardGrace));
    found->second->async()->Forward(
        &pending->context, &pending->request, &pending->reply,
        [self = m_state, pending, result,
         callback = std::move(callback)](const grpc::Status &status) mutable {
            if (status.ok()) {
                auto response = decode(std::move(pending->reply), clock::now());
                response.id = result.request;
                result.response = std::make_shared<const service_response>(std::move(response));
            }
            asio::post(self->context, [pending, callback = std::move(callback), result]() mutable {
                callback(std::move(result));
            });
        });
}

} // namespace plantaingap::peer
