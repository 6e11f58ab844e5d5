#ifndef PLANTAINGAP_CALLER_CALLER_LISTENER_H
#define PLANTAINGAP_CALLER_CALLER_LISTENER_H

#include "support/http_server.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <plantaingap/service_request.h>
#include <unordered_map>

namespace plantaingap::caller {

struct caller_limits
{
    support::http_server_limits http;
    // Maximum number of open requests; further ones are refused.
    std::size_t openRequests = 8192;
};

// HTTP server for callers. It runs on the thread of its io_context; deliver() and stop() must be
// called on that thread.
class caller_listener
{
public:
    // Passes a request to the scheduling event loop. Returns false if its queue is full.
    using admission = std::function<bool(service_request_ptr)>;

    // The names of requests begin with the prefix, which must be unique per instance and start of
    // the process.
    caller_listener(boost::asio::io_context &context, caller_limits limits, std::string namePrefix,
                    admission admit, std::shared_ptr<boost::asio::ssl::context> tls);

    std::error_code listen(const boost::asio::ip::tcp::endpoint &endpoint);
    std::uint16_t port() const { return m_server.port(); }

    // Sends the response to an admitted request; ignored if the request is no longer open.
    void deliver(const service_response_ptr &response);

    // Accepts no new connections and closes each open one after its next response.
    void drain() { m_server.stopAccepting(); }
    // Refuses all further requests with errc::Stopping.
    void stop() { m_stopping = true; }
    // Requests whose responses are not written yet.
    std::size_t unanswered() const { return m_server.unanswered(); }

private:
    // A suspended request handler that waits for its response.
    struct waiter
    {
        virtual ~waiter() = default;
        virtual void complete(service_response_ptr response) = 0;
    };
    template<class Handler>
    struct typed_waiter;

    boost::asio::awaitable<support::http_response> serve(support::http_request request);
    boost::asio::awaitable<service_response_ptr> awaitResponse(request_id id);
    service_response refusal(errc code) const;

    caller_limits m_limits;
    std::string m_namePrefix;
    admission m_admit;
    std::uint64_t m_lastId = 0;
    bool m_stopping = false;
    std::unordered_map<request_id, std::unique_ptr<waiter>> m_waiters;
    support::http_server m_server;
};

} // namespace plantaingap::caller

#endif
