#ifndef PLANTAINGAP_SUPPORT_HTTP_CLIENT_H
#define PLANTAINGAP_SUPPORT_HTTP_CLIENT_H

#include "support/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <vector>

namespace plantaingap::support {

// What is known about a request that brought no whole answer.
struct http_failure
{
    std::error_code error;
    // False when no byte of the request was given to a connection: it was certainly not run.
    bool written = false;
};

using http_outcome = boost::system::result<http_response, http_failure>;

// An open connection to a server. It ends with the process at its other end, so what that process
// has told of itself holds for all later requests over the connection.
class http_connection
{
public:
    virtual ~http_connection() = default;

    // Identifies the process at the other end, in the caller's terms; none until it is known.
    std::optional<std::int64_t> peer;
    // When the last answer came.
    time_point answeredAt {};
};

using connect_outcome = boost::system::result<std::shared_ptr<http_connection>, http_failure>;

// An HTTP/1.1 client of one server, with connections that are kept and used again. It runs on the
// thread of its io_context. A connection whose state is unknown (deadline passed, error, truncated
// or trailing bytes) is closed, never used again. Nothing is ever sent a second time here.
class http_client
{
public:
    // Without a TLS context the client speaks plain HTTP. At most maxIdle connections are kept.
    http_client(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
                std::size_t maxIdle, std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~http_client();

    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    // One request and its whole answer, or why there is none by the deadline.
    boost::asio::awaitable<http_outcome> fetch(http_request request, time_point deadline);

    // A kept connection or a new one, for the caller alone, or why there is none by the deadline.
    boost::asio::awaitable<connect_outcome> connect(time_point deadline);
    // As above, over a connection of this client; null afterwards if it cannot be used again.
    boost::asio::awaitable<http_outcome> fetch(std::shared_ptr<http_connection> &link,
                                               http_request request, time_point deadline);
    // Keeps a connection for later requests, if it is not null and there is room.
    void keep(const std::shared_ptr<http_connection> &link);
    // Closes the kept connections, as after a timeout: others of the same age may be silent too.
    void closeIdle();
    // As above, except those over which an answer has come since.
    void closeIdle(time_point withoutAnswerSince);
    // Closes the kept connections that are known to lead to another process than `peer`.
    void closeIdleToOthers(std::int64_t peer);

    // An answer's body larger than this is an error.
    static constexpr std::size_t bodyLimit = std::size_t {64} << 20;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// Parses "127.0.0.1:8080" or "[::1]:8080"; addresses are IP numbers, never names.
result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

// The endpoint as parseEndpoint() reads it.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace plantaingap::support

// A failure is a value here; asking a failed outcome for its answer is a fault of the program.
namespace plantaingap::support {
[[noreturn]] void throw_exception_from_error(const http_failure &failure, // NOLINT
                                             const boost::source_location &location);
} // namespace plantaingap::support

#endif
