#include "http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace review {

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxBody = std::size_t {64} << 20;

} // namespace

response jsonAnswer(unsigned status, std::string body)
{
    response made {static_cast<http::status>(status), 11};
    made.set(http::field::content_type, "application/json");
    made.body() = std::move(body);
    made.prepare_payload();
    return made;
}

server::server(asio::io_context &context, handler handle)
    : m_context(context)
    , m_handle(std::move(handle))
{ }

void server::listen(std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    m_acceptor = std::make_shared<tcp::acceptor>(m_context);
    m_acceptor->open(endpoint.protocol());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->bind(endpoint);
    m_acceptor->listen();
    m_port = m_acceptor->local_endpoint().port();
    asio::co_spawn(m_context, accept(m_acceptor), asio::detached);
}

void server::die()
{
    boost::system::error_code ignored;
    if (m_acceptor)
        m_acceptor->close(ignored);
    m_acceptor.reset();
    for (auto &weak : m_sessions) {
        if (const auto link = weak.lock()) {
            link->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            link->socket.close(ignored);
        }
    }
    m_sessions.clear();
}

asio::awaitable<void> server::accept(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(asTuple);
        if (error == asio::error::operation_aborted || !acceptor->is_open())
            co_return;
        if (error)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto link = std::make_shared<session>(std::move(socket));
        std::erase_if(m_sessions, [](const auto &weak) { return weak.expired(); });
        m_sessions.push_back(link);
        asio::co_spawn(m_context, serve(link), asio::detached);
    }
}

asio::awaitable<void> server::serve(std::shared_ptr<session> link)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBody);
        const auto [readError, read] =
            co_await http::async_read(link->socket, buffer, parser, asTuple);
        if (readError)
            co_return;
        const bool keep = parser.get().keep_alive();
        auto made = co_await m_handle(parser.release());
        if (!link->socket.is_open())
            co_return;
        made.keep_alive(keep);
        const auto [writeError, written] = co_await http::async_write(link->socket, made, asTuple);
        if (writeError || !keep)
            co_return;
    }
}

asio::awaitable<std::optional<answer>> call(asio::io_context &context, std::uint16_t port,
                                            std::string method, std::string target,
                                            std::string host, std::string body,
                                            std::chrono::milliseconds patience)
{
    boost::beast::tcp_stream stream(context);
    stream.expires_after(patience);
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    const auto [connectError] = co_await stream.async_connect(endpoint, asTuple);
    if (connectError)
        co_return std::nullopt;
    request asked;
    asked.method_string(method);
    asked.target(target);
    asked.version(11);
    asked.set(http::field::host, host);
    asked.set(http::field::content_type, "application/json");
    asked.set("Plantaingap-Deadline-Ms", std::to_string(patience.count()));
    asked.body() = std::move(body);
    asked.prepare_payload();
    const auto [writeError, written] = co_await http::async_write(stream, asked, asTuple);
    if (writeError)
        co_return std::nullopt;
    boost::beast::flat_buffer buffer;
    response got;
    const auto [readError, read] = co_await http::async_read(stream, buffer, got, asTuple);
    if (readError)
        co_return std::nullopt;
    co_return answer {got.result_int(), got.body()};
}

asio::awaitable<void> sleepFor(asio::io_context &context, std::chrono::milliseconds time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asTuple);
}

} // namespace review
