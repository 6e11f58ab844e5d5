#include "peer/peer_client.h"

#include "peer/peer_codec.h"

#include <boost/asio/post.hpp>
#include <grpcpp/create_channel.h>
#include <map>
#include <peer.grpc.pb.h>

namespace plantaingap::peer {

namespace asio = boost::asio;

namespace {

constexpr int messageLimit = 80 << 20;
// A peer that was away is tried again after this at the latest.
constexpr int longestReconnectMs = 1000;
constexpr int firstReconnectMs = 100;
// The owner answers by the request's deadline; its answer may need this much longer.
constexpr std::chrono::milliseconds forwardGrace {500};

std::chrono::system_clock::time_point wallDeadline(time_point deadline)
{
    const auto left = deadline - clock::now();
    return std::chrono::system_clock::now()
           + std::chrono::duration_cast<std::chrono::system_clock::duration>(left);
}

// What one call needs until it has ended.
template<class Request, class Reply>
struct call
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

void peer_client::add(instance_id peer, const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(messageLimit);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longestReconnectMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, firstReconnectMs);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // Addresses are IP numbers; no proxy stands between instances.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    m_state->stubs[peer] = wire::peer::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void peer_client::beat(instance_id peer, const peer_heartbeat &heartbeat, time_point deadline,
                       heartbeat_end end)
{
    const auto found = m_state->stubs.find(peer);
    if (found == m_state->stubs.end())
        return;
    auto made = std::make_shared<call<wire::heartbeat, wire::heartbeat>>();
    encode(heartbeat, made->request);
    made->context.set_deadline(wallDeadline(deadline));
    found->second->async()->Beat(
        &made->context, &made->request, &made->reply,
        [self = m_state, made, end = std::move(end)](const grpc::Status &status) {
            asio::post(self->context, [made, end, good = status.ok()] {
                if (good)
                    end(decode(made->reply, clock::now()));
                else
                    end(std::nullopt);
            });
        });
}

void peer_client::forward(const forward_order &order, forward_end end)
{
    forward_ended ended {order.request->id, order.owner, order.group, nullptr, false};
    const auto found = m_state->stubs.find(order.owner);
    if (found == m_state->stubs.end()) {
        ended.notSent = true;
        asio::post(m_state->context,
                   [end = std::move(end), ended]() mutable { end(std::move(ended)); });
        return;
    }
    auto made = std::make_shared<call<wire::forward_request, wire::forward_reply>>();
    encode(order, clock::now(), made->request);
    made->context.set_deadline(wallDeadline(order.request->deadline + forwardGrace));
    found->second->async()->Forward(
        &made->context, &made->request, &made->reply,
        [self = m_state, made, ended, end = std::move(end)](const grpc::Status &status) mutable {
            if (status.ok()) {
                auto answer = decode(std::move(made->reply), clock::now());
                answer.id = ended.request;
                ended.answer = std::make_shared<const service_response>(std::move(answer));
            }
            asio::post(self->context,
                       [made, end = std::move(end), ended]() mutable { end(std::move(ended)); });
        });
}

} // namespace plantaingap::peer
