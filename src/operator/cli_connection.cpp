#include "operator/cli_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <stdexcept>

namespace plantaingap::operators {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct exit_row
{
    std::string_view code;
    exit_code exit;
};

// Refusals by the names that api_answers.cpp gives them; all others are Refused.
constexpr std::array<exit_row, 7> exitRows {{
    {"unauthenticated", exit_code::Forbidden},
    {"forbidden", exit_code::Forbidden},
    {"not_found", exit_code::NotFound},
    {"version_conflict", exit_code::Conflict},
    {"invalid_configuration", exit_code::Findings},
    {"outcome_unknown", exit_code::Unknown},
    {"internal", exit_code::Unknown},
}};

call_failure failureOf(const support::http_response &answer)
{
    call_failure failure;
    const auto refusal = readMessage<refusal_message>(answer.body());
    if (!refusal) {
        failure.refusal = {
            "bad_answer", "status " + std::to_string(answer.result_int()), {}, {}, {}};
        return failure;
    }
    failure.refusal = *refusal;
    const auto row = std::ranges::find(exitRows, std::string_view(refusal->code), &exit_row::code);
    failure.code = row == exitRows.end() ? exit_code::Refused : row->exit;
    return failure;
}

} // namespace

cli_connection::cli_connection(asio::ip::tcp::endpoint server, std::string token,
                               support::tls_context tls, std::chrono::milliseconds timeout)
    : m_client(m_context, std::move(server), 1, std::move(tls))
    , m_token(std::move(token))
    , m_timeout(timeout)
{ }

cli_connection::body_outcome cli_connection::call(http::verb method, std::string_view target,
                                                  std::string body)
{
    auto request = support::makeRequest(method, target, std::move(body));
    request.set(http::field::authorization, "Bearer " + m_token);
    support::http_outcome outcome = support::http_failure {};
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            outcome = co_await m_client.fetch(std::move(request), clock::now() + m_timeout);
        },
        asio::detached);
    m_context.restart();
    m_context.run();
    if (outcome.has_error()) {
        const auto &failed = outcome.error();
        const std::string message =
            failed.error.message() + (failed.written ? " after the request was sent" : "");
        const auto code = failed.written ? exit_code::Unknown : exit_code::Refused;
        return call_failure {code, {"unreachable", message, {}, {}, {}}};
    }
    if (outcome->result() != http::status::ok)
        return failureOf(*outcome);
    return std::move(outcome->body());
}

void cli_connection::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    timer.wait();
}

call_failure cli_connection::malformedAnswer()
{
    return {exit_code::Unknown,
            {"bad_answer", "the instance's answer is not of this program's version", {}, {}, {}}};
}

void throw_exception_from_error(const call_failure &failure, const boost::source_location &location)
{
    boost::throw_exception(std::logic_error(failure.refusal.message), location);
}

} // namespace plantaingap::operators
