#ifndef PLANTAINGAP_BACKEND_WORKER_TRANSPORT_H
#define PLANTAINGAP_BACKEND_WORKER_TRANSPORT_H

#include "support/http_client.h"

#include <functional>
#include <optional>
#include <plantaingap/epoch.h>
#include <plantaingap/service_request.h>
#include <unordered_map>

namespace plantaingap::backend {

// A worker as the transport reaches it. An owner opens at most one connection per slot.
struct worker_address
{
    worker_id worker {};
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    std::uint32_t slots = 0;
};

// A request to be sent to a worker under the authority of its group's owner.
struct send_order
{
    service_request_ptr request;
    worker_id worker {};
    std::string group;
    epoch authority;
};

// How a send ended. The answer is there when the worker answered, with a failure of its own too.
struct send_ended
{
    request_id request {};
    worker_id worker {};
    decision::send_outcome outcome = decision::send_outcome::Unknown;
    service_response_ptr answer;
    // The highest epoch that the worker says it has seen; only when it refused a lower one.
    std::optional<epoch> refusedBy;
};

// Sends requests to workers over kept connections and judges what comes back: only a whole answer
// that echoes the request's id is an answer. It runs on the thread of its io_context. Nothing is
// sent twice here.
class worker_transport
{
public:
    using end_handler = std::function<void(send_ended &&)>;

    worker_transport(boost::asio::io_context &context, end_handler ended,
                     std::shared_ptr<boost::asio::ssl::context> tls);

    // A worker known before under the same id gets the new address.
    void add(const worker_address &address);
    void remove(worker_id worker);

    void send(send_order &&order);

private:
    struct worker_link
    {
        worker_link(boost::asio::io_context &context, const worker_address &address,
                    std::shared_ptr<boost::asio::ssl::context> tls)
            : name(address.name)
            , endpoint(address.endpoint)
            , client(context, address.endpoint, address.slots, std::move(tls))
        { }

        std::string name;
        boost::asio::ip::tcp::endpoint endpoint;
        support::http_client client;
    };

    boost::asio::awaitable<void> run(std::shared_ptr<worker_link> link, send_order order);

    boost::asio::io_context &m_context;
    end_handler m_ended;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    std::unordered_map<worker_id, std::shared_ptr<worker_link>> m_links;
};

} // namespace plantaingap::backend

#endif
