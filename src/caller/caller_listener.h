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
    // Requests that are open at once; one more is refused.
    std::size_t openRequests = 8192;
};

// Takes callers' HTTP requests in and gives their answers out. It runs on the thread of its
// io_context, and so must deliver() and stop().
class caller_listener
{
public:
    // Hands a request to the scheduling duty; false when there is no room for it.
    using admission = std::function<bool(service_request_ptr)>;

    // Names of requests begin with the prefix, which tells instances and their starts apart.
    caller_listener(boost::asio::io_context &context, caller_limits limits, std::string namePrefix,
                    admission admit, std::shared_ptr<boost::asio::ssl::context> tls);

    std::error_code listen(const boost::asio::ip::tcp::endpoint &endpoint);
    std::uint16_t port() const { return m_server.port(); }

    // The answer to an admitted request; one for a request that is no longer open is dropped.
    void deliver(const service_response_ptr &answer);

    // No new connection is taken, and each open one is closed after its next answer.
    void drain() { m_server.stopAccepting(); }
    // What still comes in is refused from now on.
    void stop() { m_stopping = true; }
    // Requests whose answers were not yet written.
    std::size_t unanswered() const { return m_server.unanswered(); }

private:
    // A suspended handler that waits for its answer.
    struct waiter
    {
        virtual ~waiter() = default;
        virtual void complete(service_response_ptr answer) = 0;
    };
    template<class Handler>
    struct typed_waiter;

    boost::asio::awaitable<support::http_response> serve(support::http_request request);
    boost::asio::awaitable<service_response_ptr> answerTo(request_id id);
    service_response refusal(errc code) const;

    caller_limits m_limits;
    std::string m_namePrefix;
    admission m_admit;
    std::uint64_t m_lastId = 0;
    bool m_stopping = false;
    std::unordered_map<request_id, std::unique_ptr<waiter>> m_waiting;
    support::http_server m_server;
};

} // namespace plantaingap::caller

#endif
