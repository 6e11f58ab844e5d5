#ifndef PLANTAINGAP_BACKEND_WORKER_TRANSPORT_H
#define PLANTAINGAP_BACKEND_WORKER_TRANSPORT_H

#include "support/http_client.h"

#include <functional>
#include <optional>
#include <plantaingap/epoch.h>
#include <plantaingap/service_request.h>
#include <unordered_map>

namespace plantaingap::backend {

// Network address of a worker. An owner opens at most one connection per slot.
struct worker_address
{
    worker_id worker {};
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    std::uint32_t slots = 0;
};

// A request to send to a worker, under the epoch of the owner of its group.
struct send_order
{
    service_request_ptr request;
    worker_id worker {};
    std::string group;
    epoch authority;
};

// The outcome of a send. The response is set if the worker responded, also with an error status.
struct send_finished
{
    request_id request {};
    worker_id worker {};
    decision::send_outcome outcome = decision::send_outcome::Unknown;
    service_response_ptr response;
    // The highest epoch that the worker has observed; set only if it refused the request's epoch as
    // lower.
    std::optional<epoch> refusedBy;
};

// Sends requests to workers over persistent connections and classifies the responses: a response
// counts only if it is complete and echoes the request's id. Runs on the thread of its io_context.
// Never retries a request.
class worker_transport
{
public:
    using completion_handler = std::function<void(send_finished &&)>;

    worker_transport(boost::asio::io_context &context, completion_handler finished,
                     std::shared_ptr<boost::asio::ssl::context> tls);

    // Adds a worker, or updates the address of the worker with the same id.
    void add(const worker_address &address);
    void remove(worker_id worker);

    void send(send_order &&order);

private:
    struct worker_connections
    {
        worker_connections(boost::asio::io_context &context, const worker_address &address,
                           std::shared_ptr<boost::asio::ssl::context> tls)
            : name(address.name)
            , endpoint(address.endpoint)
            , client(context, address.endpoint, address.slots, std::move(tls))
        { }

        std::string name;
        boost::asio::ip::tcp::endpoint endpoint;
        support::http_client client;
    };

    boost::asio::awaitable<void> run(std::shared_ptr<worker_connections> connections,
                                     send_order order);

    boost::asio::io_context &m_context;
    completion_handler m_finished;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    std::unordered_map<worker_id, std::shared_ptr<worker_connections>> m_connections;
};

} // namespace plantaingap::backend

#endif
