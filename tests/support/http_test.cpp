#include "support/http_client.h"
#include "support/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::support;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

asio::awaitable<http_response> echo(http_request request, http_peer)
{
    if (request.body() == "fault")
        throw std::runtime_error("the handler failed");
    co_return makeResponse(http::status::ok, "text/plain", request.body());
}

struct raw_row
{
    std::string name;
    std::string sent;
    std::string expectedStart;
};

tcp::endpoint anyPort()
{
    return {asio::ip::address_v4::loopback(), 0};
}

} // namespace

TEST_CASE("an answer comes back whole over a kept connection")
{
    asio::io_context context;
    http_server server(context, {}, echo);
    REQUIRE(!server.listen(anyPort()));
    http_client client(context, {asio::ip::address_v4::loopback(), server.port()}, 1);
    std::vector<std::string> bodies;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (const std::string body : {"first", "second"}) {
                const auto outcome = co_await client.fetch(makeRequest(http::verb::post, "/", body),
                                                           clock::now() + std::chrono::hours(1));
                if (outcome.has_value())
                    bodies.push_back(outcome->body());
            }
            context.stop();
        },
        asio::detached);
    context.run();
    CHECK(bodies == std::vector<std::string> {"first", "second"});
}

TEST_CASE("what is not a request is told so")
{
    const std::vector<raw_row> rows = {
        {"no HTTP at all", "hello\r\n\r\n", "HTTP/1.1 400"},
        {"a body over the bound", "POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", "HTTP/1.1 413"},
        {"a request whose handler throws", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nfault",
         "HTTP/1.1 500"},
        {"a well-formed request", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        asio::io_context context;
        http_server server(context, {.bodyBytes = 10}, echo);
        REQUIRE(!server.listen(anyPort()));
        tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.port()});
        asio::write(socket, asio::buffer(row.sent));
        std::string answer(row.expectedStart.size(), ' ');
        asio::async_read(socket, asio::buffer(answer),
                         [&](const auto &, std::size_t) { context.stop(); });
        context.run();
        CHECK(answer == row.expectedStart);
    }
}

TEST_CASE("a server that cannot be reached certainly did not run the request")
{
    asio::io_context context;
    tcp::acceptor closed(context, anyPort());
    const auto endpoint = closed.local_endpoint();
    closed.close();
    http_client client(context, endpoint, 1);
    bool written = true;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto outcome = co_await client.fetch(makeRequest(http::verb::get, "/", ""),
                                                       clock::now() + std::chrono::hours(1));
            written = outcome.has_error() ? outcome.error().written : true;
        },
        asio::detached);
    context.run();
    CHECK(!written);
}

TEST_CASE("endpoints are IP numbers with a port")
{
    const std::vector<std::pair<std::string, bool>> rows = {
        {"127.0.0.1:80", true}, {"[::1]:80", true},  {"localhost:80", false},
        {"127.0.0.1", false},   {"1.2.3.4:", false}, {"1.2.3.4:70000", false},
    };
    for (const auto &[text, valid] : rows) {
        CAPTURE(text);
        const auto parsed = parseEndpoint(text);
        CHECK(parsed.has_value() == valid);
        if (valid)
            CHECK(formatEndpoint(*parsed) == text);
    }
}
