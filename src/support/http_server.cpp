#include "support/http_server.h"

#include "support/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <openssl/x509.h>

namespace plantaingap::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// How long a peer may take for a TLS handshake or to take an answer.
constexpr std::chrono::seconds writePatience {30};

// The peer sent something that is not HTTP; closing without a word would hide the reason.
bool isMalformed(const boost::system::error_code &error)
{
    return error && error != http::error::end_of_stream && error != http::error::partial_message
           && error.category() == http::make_error_code(http::error::end_of_stream).category();
}

std::string commonName(SSL *ssl)
{
    X509 *certificate = SSL_get1_peer_certificate(ssl);
    if (!certificate)
        return {};
    std::array<char, 256> name {};
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name.data(),
                              static_cast<int>(name.size()));
    X509_free(certificate);
    return name.data();
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::io_context &io, http_server_limits bounds, handler handler,
          std::shared_ptr<asio::ssl::context> context)
        : acceptor(io)
        , limits(bounds)
        , handle(std::move(handler))
        , tls(std::move(context))
    { }

    asio::awaitable<void> accept();
    asio::awaitable<void> servePlain(tcp::socket socket);
    asio::awaitable<void> serveTls(tcp::socket socket);
    asio::awaitable<http_response> answer(http_request request, http_peer peer);
    template<class Stream>
    asio::awaitable<void> serve(Stream &stream, http_peer peer);

    tcp::acceptor acceptor;
    http_server_limits limits;
    handler handle;
    std::shared_ptr<asio::ssl::context> tls;
    bool stopping = false;
    std::size_t connections = 0;
    std::size_t unanswered = 0;
};

asio::awaitable<void> http_server::state::accept()
{
    const auto self = shared_from_this();
    while (!stopping) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error || connections >= limits.connections)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto executor = acceptor.get_executor();
        if (tls)
            asio::co_spawn(executor, serveTls(std::move(socket)), asio::detached);
        else
            asio::co_spawn(executor, servePlain(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_server::state::servePlain(tcp::socket socket)
{
    const auto self = shared_from_this();
    http_peer peer;
    boost::system::error_code ignored;
    peer.address = socket.remote_endpoint(ignored);
    beast::tcp_stream stream(std::move(socket));
    co_await serve(stream, std::move(peer));
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> http_server::state::serveTls(tcp::socket socket)
{
    const auto self = shared_from_this();
    http_peer peer;
    boost::system::error_code ignored;
    peer.address = socket.remote_endpoint(ignored);
    beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), *tls);
    beast::get_lowest_layer(stream).expires_after(writePatience);
    const auto [error] = co_await stream.async_handshake(asio::ssl::stream_base::server, asTuple);
    if (error)
        co_return;
    peer.certificateName = commonName(stream.native_handle());
    co_await serve(stream, std::move(peer));
    co_await stream.async_shutdown(asTuple);
}

// A handler that throws is a fault of the program; its caller is told so and the others go on.
asio::awaitable<http_response> http_server::state::answer(http_request request, http_peer peer)
{
    const std::string target(request.target());
    std::string reason;
    try {
        co_return co_await handle(std::move(request), std::move(peer));
    } catch (const std::exception &fault) {
        reason = fault.what();
    }
    log_event(log_level::Error, "http.handler_fault")
        .field("target", target)
        .field("reason", reason);
    co_return makeResponse(http::status::internal_server_error, "text/plain", "fault\n");
}

template<class Stream>
asio::awaitable<void> http_server::state::serve(Stream &stream, http_peer peer)
{
    ++connections;
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep && !stopping) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(limits.bodyBytes);
        parser.header_limit(limits.headerBytes);
        beast::get_lowest_layer(stream).expires_after(limits.idle);
        const auto [readError, readBytes] =
            co_await http::async_read(stream, buffer, parser, asTuple);
        http_response response;
        if (readError == http::error::body_limit) {
            response = makeResponse(http::status::payload_too_large, "text/plain", "too large\n");
            keep = false;
        } else if (isMalformed(readError)) {
            response = makeResponse(http::status::bad_request, "text/plain", "malformed\n");
            keep = false;
        } else if (readError) {
            break;
        } else {
            keep = parser.get().keep_alive();
            ++unanswered;
            beast::get_lowest_layer(stream).expires_never();
            response = co_await answer(parser.release(), peer);
            --unanswered;
        }
        keep = keep && !stopping && response.keep_alive();
        response.keep_alive(keep);
        beast::get_lowest_layer(stream).expires_after(writePatience);
        const auto [writeError, written] = co_await http::async_write(stream, response, asTuple);
        if (writeError)
            break;
    }
    --connections;
}

http_server::http_server(asio::io_context &context, http_server_limits limits, handler handle,
                         std::shared_ptr<asio::ssl::context> tls)
    : m_state(std::make_shared<state>(context, limits, std::move(handle), std::move(tls)))
{ }

http_server::~http_server()
{
    stopAccepting();
}

std::error_code http_server::listen(const tcp::endpoint &endpoint)
{
    boost::system::error_code error;
    m_state->acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_state->acceptor.bind(endpoint, error);
    if (!error)
        m_state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    asio::co_spawn(m_state->acceptor.get_executor(), m_state->accept(), asio::detached);
    return {};
}

std::uint16_t http_server::port() const
{
    boost::system::error_code ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

void http_server::stopAccepting()
{
    m_state->stopping = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

std::size_t http_server::connections() const
{
    return m_state->connections;
}

std::size_t http_server::unanswered() const
{
    return m_state->unanswered;
}

} // namespace plantaingap::support
