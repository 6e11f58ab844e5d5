#ifndef PLANTAINGAP_SUPPORT_HTTP_SERVER_H
#define PLANTAINGAP_SUPPORT_HTTP_SERVER_H

#include "support/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <plantaingap/result.h>
#include <string>

namespace plantaingap::support {

struct http_server_limits
{
    std::size_t bodyBytes = std::size_t {8} << 20;
    std::uint32_t headerBytes = 16 * 1024;
    std::size_t connections = 1024;
    // A connection that sends nothing for this long is closed.
    std::chrono::milliseconds idle {30'000};
};

// Who sent a request, as far as the connection tells.
struct http_peer
{
    boost::asio::ip::tcp::endpoint address;
    // The common name of the peer's certificate; empty without one.
    std::string certificateName;
};

// An HTTP/1.1 server for messages that are taken whole: administration, metrics and the stand-ins.
// It runs on the thread of its io_context, and so do the handlers. Malformed and oversized requests
// are answered with 400 and 413 and the connection is closed.
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request, http_peer)>;

    // Without a TLS context the server speaks plain HTTP.
    http_server(boost::asio::io_context &context, http_server_limits limits, handler handle,
                std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~http_server();

    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    // Binds and begins to accept. Port 0 takes a free port; port() tells which.
    std::error_code listen(const boost::asio::ip::tcp::endpoint &endpoint);
    std::uint16_t port() const;

    // New connections are refused; answers under way are finished, then their connections close.
    void stopAccepting();
    // Open connections.
    std::size_t connections() const;
    // Requests that were read and not yet answered.
    std::size_t unanswered() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace plantaingap::support

#endif
