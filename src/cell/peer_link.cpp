#include "cell/peer_link.h"

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

// A silent connection is found by pings within about two seconds, without any call.
constexpr int pingEveryMs = 1000;
constexpr int pingPatienceMs = 1000;
// The library takes its least back-off as the time that one attempt to connect may last.
constexpr int connectPatienceMs = 1000;
constexpr int firstReconnectMs = 100;
constexpr int longestReconnectMs = 400;
// A caller's body and the rest of its message.
constexpr int messageLimit = 4 << 20;
// gRPC's own threads: one pulls events, one more may run callbacks.
constexpr int grpcThreads = 2;

std::chrono::system_clock::time_point wallDeadline(time_point deadline)
{
    const auto left = std::max(deadline - clock::now(), duration(milliseconds(1)));
    return std::chrono::system_clock::now()
           + std::chrono::duration_cast<std::chrono::system_clock::duration>(left);
}

std::int64_t leftMs(time_point deadline)
{
    return std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
}

// What one call needs until it has ended.
template<class Request, class Reply>
struct pending_call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

using stub = wire::cell_peer::Stub;

// Starts a unary call and resumes the coroutine on the io_context's thread when it has ended.
template<class Request, class Reply, class Begin>
awaitable<bool> finish(asio::io_context &context,
                       std::shared_ptr<pending_call<Request, Reply>> call, Begin begin)
{
    // Named: GCC 12 destroys a closure that is a temporary of an awaited call twice.
    auto initiate = [&context, call, begin](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        begin(&call->context, &call->request, &call->reply,
              [&context, call, shared](const grpc::Status &status) {
                  const bool good = status.ok();
                  asio::post(context, [call, shared, good] { std::move (*shared)(good); });
              });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(
        std::move(initiate), asio::use_awaitable);
}

class service_shell final : public wire::cell_peer::CallbackService
{
public:
    service_shell(asio::io_context &context, peer_handlers handle)
        : m_context(context)
        , m_handle(std::move(handle))
    { }

    grpc::ServerUnaryReactor *Beat(grpc::CallbackServerContext *call, const wire::cell_beat *asked,
                                   wire::cell_beat_reply *answer) override
    {
        auto *reactor = call->DefaultReactor();
        follower_beat told {asked->instance(), asked->address(),
                            wall_time(milliseconds(asked->wall_ms()))};
        asio::post(m_context, [this, reactor, answer, told = std::move(told)] {
            const auto own = m_handle.beat(told);
            answer->set_leads(own.leads);
            answer->set_term(own.term);
            answer->set_commit_age_ms(static_cast<std::uint64_t>(own.commitAge.count()));
            answer->set_row_revision(own.rowRevision);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Relay(grpc::CallbackServerContext *call,
                                    const wire::relay_request *asked,
                                    wire::relay_reply *answer) override
    {
        auto *reactor = call->DefaultReactor();
        caller_call told {asked->method(), asked->host(), asked->target(), asked->body(),
                          clock::now() + milliseconds(asked->left_ms())};
        asio::post(m_context, [this, reactor, answer, told = std::move(told)]() mutable {
            asio::co_spawn(m_context, relay(std::move(told), reactor, answer), asio::detached);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Advise(grpc::CallbackServerContext *call,
                                     const wire::advise_request *asked,
                                     wire::advise_reply *answer) override
    {
        auto *reactor = call->DefaultReactor();
        advice_call told {asked->step(),
                          {asked->workers().begin(), asked->workers().end()},
                          clock::now() + milliseconds(asked->left_ms())};
        asio::post(m_context, [this, reactor, answer, told = std::move(told)]() mutable {
            asio::co_spawn(m_context, advise(std::move(told), reactor, answer), asio::detached);
        });
        return reactor;
    }

private:
    awaitable<void> relay(caller_call told, grpc::ServerUnaryReactor *reactor,
                          wire::relay_reply *answer)
    {
        auto given = co_await m_handle.relay(std::move(told));
        answer->set_leads(given.leads);
        answer->set_status(given.status);
        answer->set_body(std::move(given.body));
        answer->set_retry_after_s(given.retryAfterSeconds);
        answer->set_uncertain(given.uncertain);
        reactor->Finish(grpc::Status::OK);
    }

    awaitable<void> advise(advice_call told, grpc::ServerUnaryReactor *reactor,
                           wire::advise_reply *answer)
    {
        const auto given = co_await m_handle.advise(std::move(told));
        if (const auto *advised = std::get_if<advice>(&given)) {
            answer->set_answered(true);
            answer->set_valid_ms(advised->validity.count());
            for (const auto &ticket : advised->good) {
                answer->add_good_workers(ticket.worker);
                answer->add_tickets(ticket.text);
            }
        } else {
            answer->set_busy(std::get<call_failure>(given) == call_failure::Refused);
        }
        reactor->Finish(grpc::Status::OK);
    }

    asio::io_context &m_context;
    peer_handlers m_handle;
};

} // namespace

struct peer_link::state
{
    state(asio::io_context &io, peer_handlers handle)
        : context(io)
        , service(io, std::move(handle))
    { }

    stub &to(const std::string &address);

    asio::io_context &context;
    service_shell service;
    std::unique_ptr<grpc::Server> server;
    std::map<std::string, std::unique_ptr<stub>> stubs;
};

stub &peer_link::state::to(const std::string &address)
{
    auto &found = stubs[address];
    if (!found) {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(messageLimit);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, firstReconnectMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectPatienceMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longestReconnectMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, pingEveryMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, pingPatienceMs);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        found = wire::cell_peer::NewStub(
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }
    return *found;
}

peer_link::peer_link(asio::io_context &context, peer_handlers handle)
    : m_state(std::make_shared<state>(context, std::move(handle)))
{ }

peer_link::~peer_link()
{
    stop(clock::now());
}

std::error_code peer_link::listen(const std::string &address)
{
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("peers");
    quota.SetMaxThreads(grpcThreads);
    builder.SetResourceQuota(quota);
    int port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               pingEveryMs / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.SetMaxReceiveMessageSize(messageLimit);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_state->service);
    m_state->server = builder.BuildAndStart();
    if (!m_state->server || port == 0)
        return std::make_error_code(std::errc::address_in_use);
    return {};
}

void peer_link::stop(time_point deadline)
{
    if (!m_state->server)
        return;
    m_state->server->Shutdown(wallDeadline(deadline));
    m_state->server.reset();
}

void peer_link::reconnect(const std::string &address)
{
    m_state->stubs.erase(address);
}

awaitable<outcome<leader_beat>> peer_link::beat(std::string address, follower_beat told,
                                                time_point deadline)
{
    const auto self = m_state;
    auto call = std::make_shared<pending_call<wire::cell_beat, wire::cell_beat_reply>>();
    call->request.set_instance(told.instance);
    call->request.set_address(told.address);
    call->request.set_wall_ms(told.wall.time_since_epoch().count());
    call->context.set_deadline(wallDeadline(deadline));
    auto *async = self->to(address).async();
    const bool good = co_await finish(
        self->context, call, [async](auto *context, auto *request, auto *reply, auto done) {
            async->Beat(context, request, reply, std::move(done));
        });
    if (!good)
        co_return call_failure::Unknown;
    co_return leader_beat {call->reply.leads(), call->reply.term(),
                           milliseconds(call->reply.commit_age_ms()), call->reply.row_revision()};
}

awaitable<outcome<caller_answer>> peer_link::relay(std::string address, caller_call told)
{
    const auto self = m_state;
    auto call = std::make_shared<pending_call<wire::relay_request, wire::relay_reply>>();
    call->request.set_method(told.method);
    call->request.set_host(told.host);
    call->request.set_target(told.target);
    call->request.set_body(std::move(told.body));
    call->request.set_left_ms(leftMs(told.deadline));
    call->context.set_deadline(wallDeadline(told.deadline));
    auto *async = self->to(address).async();
    const bool good = co_await finish(
        self->context, call, [async](auto *context, auto *request, auto *reply, auto done) {
            async->Relay(context, request, reply, std::move(done));
        });
    if (!good)
        co_return call_failure::Unknown;
    co_return caller_answer {call->reply.leads(), call->reply.status(), call->reply.body(),
                             call->reply.retry_after_s(), call->reply.uncertain()};
}

awaitable<outcome<advice>> peer_link::advise(std::string address, advice_call told)
{
    const auto self = m_state;
    auto call = std::make_shared<pending_call<wire::advise_request, wire::advise_reply>>();
    call->request.set_step(told.step);
    for (const auto &worker : told.workers)
        call->request.add_workers(worker);
    call->request.set_left_ms(leftMs(told.deadline));
    call->context.set_deadline(wallDeadline(told.deadline));
    auto *async = self->to(address).async();
    const bool good = co_await finish(
        self->context, call, [async](auto *context, auto *request, auto *reply, auto done) {
            async->Advise(context, request, reply, std::move(done));
        });
    if (!good)
        co_return call_failure::Unknown;
    if (!call->reply.answered())
        co_return call->reply.busy() ? call_failure::Refused : call_failure::Unknown;
    advice given;
    given.validity = milliseconds(call->reply.valid_ms());
    for (int i = 0; i < call->reply.good_workers_size() && i < call->reply.tickets_size(); ++i)
        given.good.push_back({call->reply.good_workers(i), call->reply.tickets(i)});
    co_return given;
}

} // namespace plantaingap::cell
