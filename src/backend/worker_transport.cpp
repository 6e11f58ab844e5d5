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

// An answer is awaited this much longer than its caller waits: the worker's slot is held until
// then.
constexpr std::chrono::seconds slotPatience {60};

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

send_outcome judgeAnswer(const support::http_response &response, const service_request &request)
{
    if (header(response, "Plantaingap-Request-Id") != request.name)
        return send_outcome::Unknown;
    if (header(response, "Plantaingap-Run") == "no")
        return send_outcome::NotRun;
    return response.result_int() >= 500 ? send_outcome::WorkerFailed : send_outcome::Completed;
}

service_response_ptr takeAnswer(support::http_response &&response, const service_request &request,
                                const std::string &worker)
{
    auto answer = std::make_shared<service_response>();
    answer->id = request.id;
    answer->status = response.result_int();
    answer->contentType = header(response, "Content-Type");
    answer->body = std::move(response.body());
    answer->worker = worker;
    return answer;
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

worker_transport::worker_transport(asio::io_context &context, end_handler ended,
                                   std::shared_ptr<asio::ssl::context> tls)
    : m_context(context)
    , m_ended(std::move(ended))
    , m_tls(std::move(tls))
{ }

void worker_transport::add(const worker_address &address)
{
    auto &link = m_links[address.worker];
    // Kept connections stay while the worker stays where it is.
    if (!link || link->endpoint != address.endpoint)
        link = std::make_shared<worker_link>(m_context, address, m_tls);
}

void worker_transport::remove(worker_id worker)
{
    m_links.erase(worker);
}

void worker_transport::send(send_order &&order)
{
    const auto found = m_links.find(order.worker);
    if (found == m_links.end()) {
        m_ended({order.request->id, order.worker, send_outcome::NotRun, nullptr, std::nullopt});
        return;
    }
    asio::co_spawn(m_context, run(found->second, std::move(order)), asio::detached);
}

asio::awaitable<void> worker_transport::run(std::shared_ptr<worker_link> link, send_order order)
{
    auto outcome =
        co_await link->client.fetch(workerRequest(order), order.request->deadline + slotPatience);
    send_ended ended;
    ended.request = order.request->id;
    ended.worker = order.worker;
    if (outcome.has_error()) {
        const auto &failure = outcome.error();
        ended.outcome = failure.written ? send_outcome::Unknown : send_outcome::NotRun;
        logOutcome("worker.send_failed", order, link->name, failure.error.message());
    } else {
        ended.outcome = judgeAnswer(*outcome, *order.request);
        if (ended.outcome == send_outcome::Unknown)
            logOutcome("worker.crossed_answer", order, link->name,
                       header(*outcome, "Plantaingap-Request-Id"));
        else if (ended.outcome == send_outcome::NotRun)
            ended.refusedBy = parseEpoch(header(*outcome, "Plantaingap-Highest-Epoch"));
        else
            ended.answer = takeAnswer(std::move(*outcome), *order.request, link->name);
    }
    m_ended(std::move(ended));
}

} // namespace plantaingap::backend
