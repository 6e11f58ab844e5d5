#include "peer/peer_server.h"

#include "peer/peer_codec.h"

#include <boost/asio/post.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <peer.grpc.pb.h>

namespace plantaingap::peer {

namespace asio = boost::asio;

namespace {

// A forwarded body and the rest of its message.
constexpr int messageLimit = 80 << 20;

// gRPC's threads only unpack a call and post it to the duty's thread.
class service_shell final : public wire::peer::CallbackService
{
public:
    service_shell(asio::io_context &context, peer_server::handlers handle)
        : m_context(context)
        , m_handle(std::move(handle))
    { }

    grpc::ServerUnaryReactor *Beat(grpc::CallbackServerContext *call, const wire::heartbeat *asked,
                                   wire::heartbeat *answer) override
    {
        auto *reactor = call->DefaultReactor();
        asio::post(
            m_context, [this, reactor, answer, told = decode(*asked, clock::now())]() mutable {
                m_handle.heartbeat(std::move(told), [reactor, answer](const peer_heartbeat &own) {
                    encode(own, *answer);
                    reactor->Finish(grpc::Status::OK);
                });
            });
        return reactor;
    }

    grpc::ServerUnaryReactor *Forward(grpc::CallbackServerContext *call,
                                      const wire::forward_request *asked,
                                      wire::forward_reply *answer) override
    {
        auto *reactor = call->DefaultReactor();
        const group_id group {asked->group()};
        auto request = decode(wire::forward_request(*asked), clock::now());
        asio::post(m_context,
                   [this, reactor, answer, group, request = std::move(request)]() mutable {
                       m_handle.forward(std::move(request), group,
                                        [reactor, answer](const service_response &given) {
                                            encode(given, clock::now(), *answer);
                                            reactor->Finish(grpc::Status::OK);
                                        });
                   });
        return reactor;
    }

private:
    asio::io_context &m_context;
    peer_server::handlers m_handle;
};

} // namespace

struct peer_server::state
{
    state(asio::io_context &context, handlers handle)
        : service(context, std::move(handle))
    { }

    service_shell service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

peer_server::peer_server(asio::io_context &context, handlers handle)
    : m_state(std::make_unique<state>(context, std::move(handle)))
{ }

peer_server::~peer_server()
{
    stop(clock::now());
}

std::error_code peer_server::listen(const std::string &address)
{
    grpc::ServerBuilder builder;
    // Two instances that share a port would take each other's calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(messageLimit);
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
    const auto left = std::max(deadline - clock::now(), duration::zero());
    m_state->server->Shutdown(
        std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(left));
    m_state->server.reset();
}

} // namespace plantaingap::peer
