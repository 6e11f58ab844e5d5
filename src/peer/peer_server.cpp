#include "peer/peer_server.h"

#include "peer/peer_codec.h"

#include <boost/asio/post.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <peer.grpc.pb.h>

namespace plantaingap::peer {

namespace asio = boost::asio;

namespace {

// Large enough for the largest forwarded body plus the other fields of its message.
constexpr int maxMessageBytes = 80 << 20;

// The gRPC threads only decode a call and post it to the thread of the io_context.
class peer_service final : public wire::peer::CallbackService
{
public:
    peer_service(asio::io_context &context, peer_server::handlers callbacks)
        : m_context(context)
        , m_handlers(std::move(callbacks))
    { }

    grpc::ServerUnaryReactor *Beat(grpc::CallbackServerContext *call,
                                   const wire::heartbeat *request,
                                   wire::heartbeat *response) override
    {
        auto *reactor = call->DefaultReactor();
        asio::post(m_context,
                   [this, reactor, response, heartbeat = decode(*request, clock::now())]() mutable {
                       m_handlers.heartbeat(std::move(heartbeat),
                                            [reactor, response](const peer_heartbeat &reply) {
                                                encode(reply, *response);
                                                reactor->Finish(grpc::Status::OK);
                                            });
                   });
        return reactor;
    }

    grpc::ServerUnaryReactor *Forward(grpc::CallbackServerContext *call,
                                      const wire::forward_request *request,
                                      wire::forward_reply *response) override
    {
        auto *reactor = call->DefaultReactor();
        const group_id group {request->group()};
        auto forwarded = decode(wire::forward_request(*request), clock::now());
        asio::post(m_context,
                   [this, reactor, response, group, forwarded = std::move(forwarded)]() mutable {
                       m_handlers.forward(std::move(forwarded), group,
                                          [reactor, response](const service_response &reply) {
                                              encode(reply, clock::now(), *response);
                                              reactor->Finish(grpc::Status::OK);
                                          });
                   });
        return reactor;
    }

private:
    asio::io_context &m_context;
    peer_server::handlers m_handlers;
};

} // namespace

struct peer_server::state
{
    state(asio::io_context &context, handlers callbacks)
        : service(context, std::move(callbacks))
    { }

    peer_service service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

peer_server::peer_server(asio::io_context &context, handlers callbacks)
    : m_state(std::make_unique<state>(context, std::move(callbacks)))
{ }

peer_server::~peer_server()
{
    stop(clock::now());
}

std::error_code peer_server::listen(const std::string &address)
{
    grpc::ServerBuilder builder;
    // With port sharing, two instances on one port would receive each other's calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_state->port);
    builder.RegisterService(&m_state->service);
    m_state->server = builder.BuildAndStart();
    if (!m_state->server || m_state->port == 0)
        return std::make_error_code(std::errc::address_in_use);
    return {};
}

std::uint16_t peer_server::port() const
{
    return static_cast<std::uint16_t>(m_state->port);
}

void peer_server::stop(time_point deadline)
{
    if (!m_state->server)
        return;
    const auto remaining = std::max(deadline - clock::now(), duration::zero());
    m_state->server->Shutdown(
        std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(remaining));
    m_state->server.reset();
}

} // namespace plantaingap::peer
