#ifndef REVIEW_STAND_IN_2_HTTP_H
#define REVIEW_STAND_IN_2_HTTP_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

// A small HTTP server that can die like a process, and a client that uses each connection once.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
using handler = std::function<asio::awaitable<response>(request)>;

response jsonAnswer(unsigned status, std::string body);

class server
{
public:
    server(asio::io_context &context, handler handle);
    // Port 0 picks a free one.
    void listen(std::uint16_t port);
    std::uint16_t port() const { return m_port; }
    // Resets all connections and closes the port, as when the process is killed.
    void die();

private:
    struct session
    {
        explicit session(tcp::socket stream)
            : socket(std::move(stream))
        { }
        tcp::socket socket;
    };
    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor);
    asio::awaitable<void> serve(std::shared_ptr<session> link);

    asio::io_context &m_context;
    handler m_handle;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::list<std::weak_ptr<session>> m_sessions;
    std::uint16_t m_port = 0;
};

// The status and body of an answer; none if there was no whole answer within the time.
struct answer
{
    unsigned status = 0;
    std::string body;
};
asio::awaitable<std::optional<answer>> call(asio::io_context &context, std::uint16_t port,
                                            std::string method, std::string target,
                                            std::string host, std::string body,
                                            std::chrono::milliseconds patience);

asio::awaitable<void> sleepFor(asio::io_context &context, std::chrono::milliseconds time);

} // namespace review

#endif
