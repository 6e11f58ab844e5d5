#include "backend/worker_transport.h"

#include "support/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

namespace plantaingap::backend {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using decision::send_outcome;

namespace {

// The response is awaited for this long after the request's deadline; until it arrives or the wait
// ends, the request occupies its slot of the worker.
constexpr std::chrono::seconds slotHoldTime {60};

support::http_request workerRequest(const send_order &order)
{
    const auto &request = *order.request;
    const auto method = http::string_to_verb(request.method);
    auto message = support::makeRequest(method, "/serve/" + request.service + request.target,
                                        request.body, request.contentType);
    message.set("Plantaingap-Request-Id", request.name);
    message.set("Plantaingap-Group", order.group);
    message.set("Plantaingap-Epoch", std::to_string(order.authority.generation) + "."
                                         + std::to_string(order.authority.rank));
    if (!request.kind.empty())
        message.set("Plantaingap-Kind", request.kind);
    return message;
}

std::string_view header(const support::http_response &response, std::string_view name)
{
    const auto value = response[name];
    return {value.data(), value.size()};
}

std::optional<epoch> parseEpoch(std::string_view text)
{
    epoch parsed;
    const auto *end = text.data() + text.size();
    const auto generation = std::from_chars(text.data(), end, parsed.generation);
    if (generation.ec != std::errc {} || generation.ptr == end || *generation.ptr != '.')
        return std::nullopt;
    const auto rank = std::from_chars(generation.ptr + 1, end, parsed.rank);
    if (rank.ec != std::errc {} || rank.ptr != end)
        return std::nullopt;
    return parsed;
}

send_outcome classifyResponse(const support::http_response &response,
                              const service_request &request)
{
    if (header(response, "Plantaingap-Request-Id") != request.name)
        return send_outcome::Unknown;
    if (header(response, "Plantaingap-Run") == "no")
        return send_outcome::NotRun;
    return response.result_int() >= 500 ? send_outcome::WorkerFailed : send_outcome::Completed;
}

service_response_ptr toServiceResponse(support::http_response &&response,
                                       const service_request &request, const std::string &worker)
{
    auto converted = std::make_shared<service_response>();
    converted->id = request.id;
    converted->status = response.result_int();
    converted->contentType = header(response, "Content-Type");
    converted->body = std::move(response.body());
    converted->worker = worker;
    return converted;
}

void logOutcome(std::string_view event, const send_order &order, const std::string &worker,
                std::string_view reason)
{
    support::log_event(support::log_level::Warning, event)
        .field("request", order.request->name)
        .field("group", order.group)
        .field("epoch", order.authority.generation)
        .field("rank", order.authority.rank)
        .field("worker", worker)
        .field("reason", reason);
}

} // namespace

worker_transport::worker_transport(asio::io_context &context, completion_handler finished,
                                   std::shared_ptr<asio::ssl::context> tls)
    : m_context(context)
    , m_finished(std::move(finished))
    , m_tls(std::move(tls))
{ }

void worker_transport::add(const worker_address &address)
{
    auto &connections = m_connections[address.worker];
    // Open connections are kept unless the endpoint changed.
    if (!connections || connections->endpoint != address.endpoint)
        connections = std::make_shared<worker_connections>(m_context, address, m_tls);
}

void worker_transport::remove(worker_id worker)
{
    m_connections.erase(worker);
}

void worker_transport::send(send_order &&order)
{
    const auto found = m_connections.find(order.worker);
    if (found == m_connections.end()) {
        m_finished({order.request->id, order.worker, send_outcome::NotRun, nullptr, std::nullopt});
        return;
    }
    asio::co_spawn(m_context, run(found->second, std::move(order)), asio::detached);
}

asio::awaitable<void> worker_transport::run(std::shared_ptr<worker_connections> connections,
                                            send_order order)
{
    auto outcome = co_await connections->client.fetch(workerRequest(order),
                                                      order.request->deadline + slotHoldTime);
    send_finished finished;
    finished.request = order.request->id;
    finished.worker = order.worker;
    if (outcome.has_error()) {
        const auto &failure = outcome.error();
        finished.outcome = failure.written ? send_outcome::Unknown : send_outcome::NotRun;
        logOutcome("worker.send_failed", order, connections->name, failure.error.message());
    } else {
        finished.outcome = classifyResponse(*outcome, *order.request);
        if (finished.outcome == send_outcome::Unknown)
            logOutcome("worker.response_id_mismatch", order, connections->name,
                       header(*outcome, "Plantaingap-Request-Id"));
        else if (finished.outcome == send_outcome::NotRun)
            finished.refusedBy = parseEpoch(header(*outcome, "Plantaingap-Highest-Epoch"));
        else
            finished.response =
                toServiceResponse(std::move(*outcome), *order.request, connections->name);
    }
    m_finished(std::move(finished));
}

} // namespace plantaingap::backend
