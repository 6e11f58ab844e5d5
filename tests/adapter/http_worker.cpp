#include "adapter/http_worker.h"

#include "support/http_client.h"
#include "support/http_message.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

namespace plantaingap::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

struct connection
{
    explicit connection(tcp::socket accepted)
        : socket(std::move(accepted))
    { }

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    // A request has been read and not answered.
    bool busy = false;
};

} // namespace

struct http_worker::state
{
    explicit state(asio::io_context &ioContext)
        : context(ioContext)
        , acceptor(ioContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    { }

    std::int64_t clockMs() const
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - startedAt);
        return firstClockMs + elapsed.count();
    }

    json::object report() const
    {
        json::array active;
        for (const auto &order : executed) {
            if (order.path == "/run-start" && order.incarnationMs == incarnationMs) {
                active.push_back(
                    json::array {order.body.at("task"), order.body.at("attempt"), "", 0, 0});
            }
        }
        return {{"time_ms", clockMs()},
                {"active", std::move(active)},
                {"ended", json::array()},
                {"born", incarnationMs}};
    }

    static asio::awaitable<void> accept(std::shared_ptr<state> self);
    static asio::awaitable<void> serve(std::shared_ptr<state> self,
                                       std::shared_ptr<connection> link);

    asio::io_context &context;
    tcp::acceptor acceptor;
    std::int64_t incarnationMs = 0;
    std::int64_t firstClockMs = 0;
    time_point startedAt {};
    unsigned renewalStatus = 200;
    std::vector<std::shared_ptr<connection>> connections;
    std::vector<executed_order> executed;
    std::size_t openRenewals = 0;
    std::size_t connectionLimit = std::numeric_limits<std::size_t>::max();
    std::size_t openConnections = 0;
    std::size_t mostConnections = 0;
    std::size_t refusedConnections = 0;
    milliseconds replyDelay {0};
};

asio::awaitable<void> http_worker::state::accept(std::shared_ptr<state> self)
{
    while (true) {
        auto [error, socket] = co_await self->acceptor.async_accept(asTuple);
        if (error)
            co_return;
        if (self->openConnections >= self->connectionLimit) {
            ++self->refusedConnections;
            boost::system::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            continue;
        }
        self->mostConnections = std::max(self->mostConnections, ++self->openConnections);
        auto link = std::make_shared<connection>(std::move(socket));
        self->connections.push_back(link);
        asio::co_spawn(self->context, serve(self, std::move(link)), asio::detached);
    }
}

asio::awaitable<void> http_worker::state::serve(std::shared_ptr<state> self,
                                                std::shared_ptr<connection> link)
{
    const auto incarnationMs = self->incarnationMs;
    const auto countClosed = [](state *worker) { --worker->openConnections; };
    const std::unique_ptr<state, decltype(countClosed)> counted(self.get(), countClosed);
    while (true) {
        support::http_request request;
        const auto [readError, size] =
            co_await http::async_read(link->socket, link->buffer, request, asTuple);
        if (readError || self->incarnationMs != incarnationMs)
            co_return;
        link->busy = true;
        const std::string path(request.target());
        const auto body = json::parse(request.body()).as_object();
        self->executed.push_back({path, body, incarnationMs, self->clockMs()});
        const bool renewal = path == "/hold";
        const auto *wait = renewal ? body.if_contains("wait_ms") : nullptr;
        if (wait) {
            ++self->openRenewals;
            asio::steady_timer timer(self->context, milliseconds(wait->to_number<std::int64_t>()));
            co_await timer.async_wait(asTuple);
            if (self->incarnationMs != incarnationMs)
                co_return;
            --self->openRenewals;
        }
        if (self->replyDelay > milliseconds(0)) {
            asio::steady_timer timer(self->context, self->replyDelay);
            co_await timer.async_wait(asTuple);
        }
        if (renewal && self->renewalStatus == 0) {
            link->socket.close();
            co_return;
        }
        auto reply = support::jsonResponse(
            renewal ? static_cast<http::status>(self->renewalStatus) : http::status::ok,
            json::serialize(renewal ? self->report()
                                    : json::object {{"time_ms", self->clockMs()}}));
        const auto [writeError, written] = co_await http::async_write(link->socket, reply, asTuple);
        if (writeError)
            co_return;
        link->busy = false;
    }
}

http_worker::http_worker(asio::io_context &context, std::int64_t incarnationMs,
                         std::int64_t clockMs)
    : m_state(std::make_shared<state>(context))
{
    restart(incarnationMs, clockMs);
    asio::co_spawn(context, state::accept(m_state), asio::detached);
}

http_worker::~http_worker()
{
    m_state->acceptor.close();
    for (const auto &link : m_state->connections)
        link->socket.close();
}

std::string http_worker::address() const
{
    return support::formatEndpoint(m_state->acceptor.local_endpoint());
}

void http_worker::restart(std::int64_t incarnationMs, std::int64_t clockMs)
{
    m_state->incarnationMs = incarnationMs;
    m_state->firstClockMs = clockMs;
    m_state->startedAt = clock::now();
    m_state->openRenewals = 0;
    for (const auto &link : m_state->connections) {
        if (!link->busy)
            link->socket.close();
    }
}

const std::vector<executed_order> &http_worker::executed() const
{
    return m_state->executed;
}

std::size_t http_worker::openRenewals() const
{
    return m_state->openRenewals;
}

void http_worker::limitConnections(std::size_t limit)
{
    m_state->connectionLimit = limit;
}

std::size_t http_worker::openConnections() const
{
    return m_state->openConnections;
}

std::size_t http_worker::mostConnections() const
{
    return m_state->mostConnections;
}

std::size_t http_worker::refusedConnections() const
{
    return m_state->refusedConnections;
}

void http_worker::replyAfter(milliseconds delay)
{
    m_state->replyDelay = delay;
}

void http_worker::answerRenewals(unsigned status)
{
    m_state->renewalStatus = status;
}

} // namespace plantaingap::tests
