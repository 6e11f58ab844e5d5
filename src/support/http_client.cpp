#include "support/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <boost/throw_exception.hpp>
#include <charconv>

namespace plantaingap::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// A connection with or without TLS; one of the two streams is there.
struct connection final : http_connection
{
    connection(asio::io_context &context, asio::ssl::context *tls)
    {
        if (tls)
            secure = std::make_unique<beast::ssl_stream<beast::tcp_stream>>(context, *tls);
        else
            plain = std::make_unique<beast::tcp_stream>(context);
    }

    beast::tcp_stream &lowest() { return secure ? secure->next_layer() : *plain; }

    std::unique_ptr<beast::tcp_stream> plain;
    std::unique_ptr<beast::ssl_stream<beast::tcp_stream>> secure;
    beast::flat_buffer buffer;
};

asio::awaitable<boost::system::error_code> open(connection &link, const tcp::endpoint &server)
{
    const auto [error] = co_await link.lowest().async_connect(server, asTuple);
    if (error)
        co_return error;
    boost::system::error_code ignored;
    link.lowest().socket().set_option(tcp::no_delay(true), ignored);
    if (!link.secure)
        co_return error;
    const auto [refused] =
        co_await link.secure->async_handshake(asio::ssl::stream_base::client, asTuple);
    co_return refused;
}

template<class Stream>
asio::awaitable<http_outcome> exchange(Stream &stream, beast::flat_buffer &buffer,
                                       const http_request &request)
{
    const auto [writeError, written] = co_await http::async_write(stream, request, asTuple);
    if (writeError)
        co_return http_failure {writeError, true};
    http::response_parser<http::string_body> parser;
    parser.body_limit(http_client::bodyLimit);
    const auto [readError, read] = co_await http::async_read(stream, buffer, parser, asTuple);
    if (readError)
        co_return http_failure {readError, true};
    co_return parser.release();
}

} // namespace

// The coroutines hold the state, so that the client may be destroyed meanwhile.
struct http_client::state
{
    asio::io_context &context;
    tcp::endpoint server;
    std::size_t maxIdle;
    std::shared_ptr<asio::ssl::context> tls;
    std::vector<std::shared_ptr<http_connection>> idle;

    void keep(const std::shared_ptr<http_connection> &link)
    {
        if (link && idle.size() < maxIdle)
            idle.push_back(link);
    }

    static asio::awaitable<connect_outcome> connect(std::shared_ptr<state> self,
                                                    time_point deadline);
    static asio::awaitable<http_outcome> fetch(std::shared_ptr<state> self,
                                               std::shared_ptr<http_connection> &link,
                                               http_request request, time_point deadline);
    static asio::awaitable<http_outcome> fetchOnce(std::shared_ptr<state> self,
                                                   http_request request, time_point deadline);
};

asio::awaitable<connect_outcome> http_client::state::connect(std::shared_ptr<state> self,
                                                             time_point deadline)
{
    if (!self->idle.empty()) {
        const auto link = self->idle.back();
        self->idle.pop_back();
        co_return link;
    }
    const auto opened = std::make_shared<connection>(self->context, self->tls.get());
    opened->lowest().expires_at(deadline);
    const auto error = co_await open(*opened, self->server);
    if (error)
        co_return http_failure {error, false};
    co_return opened;
}

asio::awaitable<http_outcome> http_client::state::fetch(std::shared_ptr<state> self,
                                                        std::shared_ptr<http_connection> &link,
                                                        http_request request, time_point deadline)
{
    auto &used = static_cast<connection &>(*link);
    used.lowest().expires_at(deadline);
    request.set(http::field::host, formatEndpoint(self->server));
    // Not a conditional expression: GCC 12 destroys its awaited temporaries twice.
    http_outcome outcome = http_failure {};
    if (used.secure)
        outcome = co_await exchange(*used.secure, used.buffer, request);
    else
        outcome = co_await exchange(*used.plain, used.buffer, request);
    const bool reusable = outcome.has_value() && outcome->keep_alive() && used.buffer.size() == 0;
    if (reusable) {
        used.answeredAt = clock::now();
        used.lowest().expires_never();
    } else {
        link.reset();
    }
    co_return outcome;
}

asio::awaitable<http_outcome> http_client::state::fetchOnce(std::shared_ptr<state> self,
                                                            http_request request,
                                                            time_point deadline)
{
    auto connected = co_await connect(self, deadline);
    if (!connected)
        co_return connected.error();
    auto link = *connected;
    auto outcome = co_await fetch(self, link, std::move(request), deadline);
    self->keep(link);
    co_return outcome;
}

http_client::http_client(asio::io_context &context, tcp::endpoint server, std::size_t maxIdle,
                         std::shared_ptr<asio::ssl::context> tls)
    : m_state(
        std::make_shared<state>(state {context, std::move(server), maxIdle, std::move(tls), {}}))
{ }

http_client::~http_client() = default;

asio::awaitable<http_outcome> http_client::fetch(http_request request, time_point deadline)
{
    return state::fetchOnce(m_state, std::move(request), deadline);
}

asio::awaitable<connect_outcome> http_client::connect(time_point deadline)
{
    return state::connect(m_state, deadline);
}

asio::awaitable<http_outcome> http_client::fetch(std::shared_ptr<http_connection> &link,
                                                 http_request request, time_point deadline)
{
    return state::fetch(m_state, link, std::move(request), deadline);
}

void http_client::keep(const std::shared_ptr<http_connection> &link)
{
    m_state->keep(link);
}

void http_client::closeIdle()
{
    m_state->idle.clear();
}

void http_client::closeIdle(time_point withoutAnswerSince)
{
    std::erase_if(m_state->idle, [withoutAnswerSince](const auto &link) {
        return link->answeredAt < withoutAnswerSince;
    });
}

void http_client::closeIdleToOthers(std::int64_t peer)
{
    std::erase_if(m_state->idle,
                  [peer](const auto &link) { return link->peer.value_or(peer) != peer; });
}

result<tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return make_error_code(errc::Malformed);
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(host), error);
    if (error || digits.empty() || parsed.ptr != digits.data() + digits.size()
        || parsed.ec != std::errc {}) {
        return make_error_code(errc::Malformed);
    }
    return tcp::endpoint(address, port);
}

std::string formatEndpoint(const tcp::endpoint &endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

void throw_exception_from_error(const http_failure &failure, const boost::source_location &location)
{
    boost::throw_exception(std::system_error(failure.error), location);
}

} // namespace plantaingap::support
