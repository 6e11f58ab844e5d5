#include "cell/peer_transport.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cell.grpc.pb.h>
#include <grpcpp/channel.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/support/channel_arguments.h>
#include <map>

namespace plantaingap::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Keepalive pings detect a dead connection within about two seconds, without any call.
constexpr int keepaliveIntervalMs = 1000;
constexpr int keepaliveTimeoutMs = 1000;
// gRPC uses the minimum reconnect backoff as the timeout of one connection attempt.
constexpr int connectTimeoutMs = 1000;
constexpr int initialReconnectBackoffMs = 100;
constexpr int maxReconnectBackoffMs = 400;
// Bytes; fits the largest caller body and the rest of its message.
constexpr int maxMessageBytes = 4 << 20;
// gRPC's threads: one polls for events, one more may run callbacks.
constexpr int maxGrpcThreads = 2;

std::chrono::system_clock::time_point wallDeadline(time_point deadline)
{
    const auto remaining = std::max(deadline - clock::now(), duration(milliseconds(1)));
    return std::chrono::system_clock::now()
           + std::chrono::duration_cast<std::chrono::system_clock::duration>(remaining);
}

std::int64_t remainingMs(time_point deadline)
{
    return std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
}

resources fromWire(const wire::resource_amounts &amounts)
{
    return {amounts.milli_cores(), amounts.memory_mib(), amounts.accelerators()};
}

void toWire(const resources &from, wire::resource_amounts &to)
{
    to.set_milli_cores(from.milliCores);
    to.set_memory_mib(from.memoryMib);
    to.set_accelerators(from.accelerators);
}

// State of a call that gRPC uses until the call has finished.
template<class Request, class Reply>
struct pending_call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

using stub = wire::cell_peer::Stub;

// Starts a unary call and resumes the coroutine on the io_context's thread when it has finished.
// Returns whether the call succeeded.
template<class Request, class Reply, class Start>
awaitable<bool> awaitCall(asio::io_context &context,
                          std::shared_ptr<pending_call<Request, Reply>> call, Start start)
{
    // Not a temporary: GCC 12 destroys a closure that is a temporary of an awaited call twice.
    auto initiate = [&context, call, start](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(&call->context, &call->request, &call->reply,
              [&context, call, shared](const grpc::Status &status) {
                  const bool succeeded = status.ok();
                  asio::post(context,
                             [call, shared, succeeded] { std::move (*shared)(succeeded); });
              });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(
        std::move(initiate), asio::use_awaitable);
}

// Dispatches incoming calls to the handlers on the io_context's thread.
class peer_service final : public wire::cell_peer::CallbackService
{
public:
    peer_service(asio::io_context &context, peer_handlers handlers)
        : m_context(context)
        , m_handlers(std::move(handlers))
    { }

    grpc::ServerUnaryReactor *Beat(grpc::CallbackServerContext *call,
                                   const wire::cell_beat *wireRequest,
                                   wire::cell_beat_reply *wireReply) override
    {
        auto *reactor = call->DefaultReactor();
        heartbeat_request request {wireRequest->instance(),
                                   wireRequest->address(),
                                   wall_time(milliseconds(wireRequest->wall_ms())),
                                   wireRequest->partition(),
                                   wireRequest->takes_advice_calls(),
                                   milliseconds(wireRequest->takeover_delay_ms()),
                                   wireRequest->can_lead()};
        asio::post(m_context, [this, reactor, wireReply, request = std::move(request)] {
            const auto reply = m_handlers.heartbeat(request);
            wireReply->set_leads(reply.leads);
            wireReply->set_term(reply.term);
            wireReply->set_commit_age_ms(static_cast<std::uint64_t>(reply.commitAge.count()));
            wireReply->set_row_revision(reply.rowRevision);
            wireReply->set_interval_ms(static_cast<std::uint32_t>(reply.interval.count()));
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Relay(grpc::CallbackServerContext *call,
                                    const wire::relay_request *wireRequest,
                                    wire::relay_reply *wireReply) override
    {
        auto *reactor = call->DefaultReactor();
        caller_request request {wireRequest->method(),
                                wireRequest->host(),
                                wireRequest->target(),
                                wireRequest->body(),
                                clock::now() + milliseconds(wireRequest->left_ms()),
                                wireRequest->partition(),
                                wireRequest->configuration(),
                                wireRequest->authorization()};
        asio::post(m_context, [this, reactor, wireReply, request = std::move(request)]() mutable {
            asio::co_spawn(m_context, handleRequest(std::move(request), reactor, wireReply),
                           asio::detached);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Advise(grpc::CallbackServerContext *call,
                                     const wire::advise_request *wireRequest,
                                     wire::advise_reply *wireReply) override
    {
        auto *reactor = call->DefaultReactor();
        peer_advice_request request {wireRequest->step(),
                                     {wireRequest->workers().begin(), wireRequest->workers().end()},
                                     clock::now() + milliseconds(wireRequest->left_ms())};
        asio::post(m_context, [this, reactor, wireReply, request = std::move(request)]() mutable {
            asio::co_spawn(m_context, handleAdviceRequest(std::move(request), reactor, wireReply),
                           asio::detached);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *ShareLimits(grpc::CallbackServerContext *call,
                                          const wire::share_limits_request *wireRequest,
                                          wire::share_limits_reply *wireReply) override
    {
        auto *reactor = call->DefaultReactor();
        jobs::limit_request request {wireRequest->partition(),
                                     wireRequest->term(),
                                     wireRequest->number(),
                                     wireRequest->configuration(),
                                     {}};
        for (const auto &use : wireRequest->uses()) {
            request.uses.push_back({use.workspace(), fromWire(use.used()), fromWire(use.wanted()),
                                    fromWire(use.ceiling())});
        }
        asio::post(m_context, [this, reactor, wireReply, request = std::move(request)]() mutable {
            asio::co_spawn(m_context, handleLimitRequest(std::move(request), reactor, wireReply),
                           asio::detached);
        });
        return reactor;
    }

private:
    awaitable<void> handleLimitRequest(jobs::limit_request request,
                                       grpc::ServerUnaryReactor *reactor,
                                       wire::share_limits_reply *wireReply)
    {
        const auto reply = co_await m_handlers.limitRequest(std::move(request));
        wireReply->set_answered(reply.answered);
        wireReply->set_number(reply.number);
        for (const auto &[workspace, ceiling] : reply.ceilings) {
            auto *entry = wireReply->add_ceilings();
            entry->set_workspace(workspace);
            toWire(ceiling, *entry->mutable_ceiling());
        }
        reactor->Finish(grpc::Status::OK);
    }

    awaitable<void> handleRequest(caller_request request, grpc::ServerUnaryReactor *reactor,
                                  wire::relay_reply *wireReply)
    {
        auto response = co_await m_handlers.callerRequest(std::move(request));
        wireReply->set_leads(response.leads);
        wireReply->set_status(response.status);
        wireReply->set_body(std::move(response.body));
        wireReply->set_retry_after_s(response.retryAfterSeconds);
        wireReply->set_uncertain(response.outcomeUnknown);
        wireReply->set_configuration(response.configurationVersion);
        if (response.waitingJobs)
            wireReply->set_waiting_jobs(*response.waitingJobs);
        reactor->Finish(grpc::Status::OK);
    }

    awaitable<void> handleAdviceRequest(peer_advice_request request,
                                        grpc::ServerUnaryReactor *reactor,
                                        wire::advise_reply *wireReply)
    {
        const auto result = co_await m_handlers.adviceRequest(std::move(request));
        if (const auto *advised = std::get_if<advice>(&result)) {
            wireReply->set_answered(true);
            wireReply->set_valid_ms(advised->validity.count());
            for (const auto &ticket : advised->tickets) {
                wireReply->add_good_workers(ticket.worker);
                wireReply->add_tickets(ticket.text);
            }
        } else {
            wireReply->set_busy(std::get<call_failure>(result) == call_failure::Refused);
        }
        reactor->Finish(grpc::Status::OK);
    }

    asio::io_context &m_context;
    peer_handlers m_handlers;
};

} // namespace

struct peer_transport::state
{
    state(asio::io_context &io, peer_handlers handlers)
        : context(io)
        , service(io, std::move(handlers))
    { }

    stub &stubFor(const std::string &address);

    asio::io_context &context;
    peer_service service;
    std::unique_ptr<grpc::Server> server;
    std::map<std::string, std::unique_ptr<stub>> stubs;
};

stub &peer_transport::state::stubFor(const std::string &address)
{
    auto &existing = stubs[address];
    if (!existing) {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectTimeoutMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveIntervalMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        existing = wire::cell_peer::NewStub(
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }
    return *existing;
}

peer_transport::peer_transport(asio::io_context &context, peer_handlers handlers)
    : m_state(std::make_shared<state>(context, std::move(handlers)))
{ }

peer_transport::~peer_transport()
{
    stop(clock::now());
}

std::error_code peer_transport::listen(const std::string &address)
{
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("peers");
    quota.SetMaxThreads(maxGrpcThreads);
    builder.SetResourceQuota(quota);
    int port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               keepaliveIntervalMs / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_state->service);
    m_state->server = builder.BuildAndStart();
    if (!m_state->server || port == 0)
        return std::make_error_code(std::errc::address_in_use);
    return {};
}

void peer_transport::stop(time_point deadline)
{
    if (!m_state->server)
        return;
    m_state->server->Shutdown(wallDeadline(deadline));
    m_state->server.reset();
}

void peer_transport::dropConnection(const std::string &address)
{
    m_state->stubs.erase(address);
}

awaitable<outcome<heartbeat_reply>>
peer_transport::sendHeartbeat(std::string address, heartbeat_request request, time_point deadline)
{
    const auto self = m_state;
    auto call = std::make_shared<pending_call<wire::cell_beat, wire::cell_beat_reply>>();
    call->request.set_instance(request.instance);
    call->request.set_address(request.address);
    call->request.set_wall_ms(request.wall.time_since_epoch().count());
    call->request.set_partition(request.partition);
    call->request.set_takes_advice_calls(request.takesAdviceCalls);
    call->request.set_takeover_delay_ms(static_cast<std::uint32_t>(request.takeoverDelay.count()));
    call->request.set_can_lead(request.canLead);
    call->context.set_deadline(wallDeadline(deadline));
    auto *async = self->stubFor(address).async();
    const bool succeeded = co_await awaitCall(
        self->context, call, [async](auto *context, auto *wireRequest, auto *reply, auto done) {
            async->Beat(context, wireRequest, reply, std::move(done));
        });
    if (!succeeded)
        co_return call_failure::Unknown;
    co_return heartbeat_reply {call->reply.leads(), call->reply.term(),
                               milliseconds(call->reply.commit_age_ms()),
                               call->reply.row_revision(), milliseconds(call->reply.interval_ms())};
}

awaitable<outcome<caller_response>> peer_transport::forwardRequest(std::string address,
                                                                   caller_request request)
{
    const auto self = m_state;
    auto call = std::make_shared<pending_call<wire::relay_request, wire::relay_reply>>();
    call->request.set_method(request.method);
    call->request.set_host(request.host);
    call->request.set_target(request.target);
    call->request.set_body(std::move(request.body));
    call->request.set_left_ms(remainingMs(request.deadline));
    call->request.set_partition(request.partition);
    call->request.set_configuration(request.configurationVersion);
    call->request.set_authorization(request.authorization);
    call->context.set_deadline(wallDeadline(request.deadline));
    auto *async = self->stubFor(address).async();
    const bool succeeded = co_await awaitCall(
        self->context, call, [async](auto *context, auto *wireRequest, auto *reply, auto done) {
            async->Relay(context, wireRequest, reply, std::move(done));
        });
    if (!succeeded)
        co_return call_failure::Unknown;
    caller_response response {call->reply.leads(),
                              call->reply.status(),
                              call->reply.body(),
                              call->reply.retry_after_s(),
                              call->reply.uncertain(),
                              call->reply.configuration(),
                              std::nullopt};
    if (call->reply.has_waiting_jobs())
        response.waitingJobs = call->reply.waiting_jobs();
    co_return response;
}

awaitable<outcome<advice>> peer_transport::requestAdvice(std::string address,
                                                         peer_advice_request request)
{
    const auto self = m_state;
    auto call = std::make_shared<pending_call<wire::advise_request, wire::advise_reply>>();
    call->request.set_step(request.step);
    for (const auto &worker : request.workers)
        call->request.add_workers(worker);
    call->request.set_left_ms(remainingMs(request.deadline));
    call->context.set_deadline(wallDeadline(request.deadline));
    auto *async = self->stubFor(address).async();
    const bool succeeded = co_await awaitCall(
        self->context, call, [async](auto *context, auto *wireRequest, auto *reply, auto done) {
            async->Advise(context, wireRequest, reply, std::move(done));
        });
    if (!succeeded)
        co_return call_failure::Unknown;
    if (!call->reply.answered())
        co_return call->reply.busy() ? call_failure::Refused : call_failure::Unknown;
    advice result;
    result.validity = milliseconds(call->reply.valid_ms());
    for (int i = 0; i < call->reply.good_workers_size() && i < call->reply.tickets_size(); ++i)
        result.tickets.push_back({call->reply.good_workers(i), call->reply.tickets(i)});
    co_return result;
}

awaitable<outcome<jobs::limit_reply>>
peer_transport::shareLimits(std::string address, jobs::limit_request request, time_point deadline)
{
    const auto self = m_state;
    auto call =
        std::make_shared<pending_call<wire::share_limits_request, wire::share_limits_reply>>();
    call->request.set_partition(request.partition);
    call->request.set_term(request.term);
    call->request.set_number(request.number);
    call->request.set_configuration(request.configuration);
    for (const auto &use : request.uses) {
        auto *entry = call->request.add_uses();
        entry->set_workspace(use.workspace);
        toWire(use.used, *entry->mutable_used());
        toWire(use.wanted, *entry->mutable_wanted());
        toWire(use.ceiling, *entry->mutable_ceiling());
    }
    call->context.set_deadline(wallDeadline(deadline));
    auto *async = self->stubFor(address).async();
    const bool succeeded = co_await awaitCall(
        self->context, call, [async](auto *context, auto *wireRequest, auto *reply, auto done) {
            async->ShareLimits(context, wireRequest, reply, std::move(done));
        });
    if (!succeeded)
        co_return call_failure::Unknown;
    jobs::limit_reply reply {call->reply.answered(), call->reply.number(), {}};
    for (const auto &ceiling : call->reply.ceilings())
        reply.ceilings[ceiling.workspace()] = fromWire(ceiling.ceiling());
    co_return reply;
}

} // namespace plantaingap::cell
