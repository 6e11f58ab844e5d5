#include "caller/caller_message.h"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>

namespace plantaingap::caller {

namespace http = boost::beast::http;
using decision::work_class;

namespace {

constexpr std::string_view servicesPrefix = "/services/";

struct refusal_format
{
    errc code;
    std::string_view name;
    http::status status;
};

constexpr std::array<refusal_format, 12> refusals = {{
    {errc::Overloaded, "overloaded", http::status::too_many_requests},
    {errc::DeadlinePassed, "deadline_passed", http::status::gateway_timeout},
    {errc::NoSuchService, "no_such_service", http::status::not_found},
    {errc::NoWorker, "no_worker", http::status::service_unavailable},
    {errc::NotReady, "not_ready", http::status::service_unavailable},
    {errc::Stopping, "stopping", http::status::service_unavailable},
    {errc::StoreUnavailable, "store_away", http::status::service_unavailable},
    {errc::DuplicateKey, "duplicate_key", http::status::conflict},
    {errc::OutcomeUnknown, "outcome_unknown", http::status::gateway_timeout},
    {errc::InvalidResponse, "bad_answer", http::status::bad_gateway},
    {errc::NotFound, "not_found", http::status::not_found},
    {errc::Malformed, "malformed", http::status::bad_request},
}};

constexpr refusal_format defaultRefusal {errc::NotReady, "refused",
                                         http::status::service_unavailable};

const refusal_format &refusalFormat(errc code)
{
    const auto *found = std::find_if(refusals.begin(), refusals.end(),
                                     [code](const auto &row) { return row.code == code; });
    return found == refusals.end() ? defaultRefusal : *found;
}

constexpr std::array<std::string_view, 3> runNames = {"no", "unknown", "yes"};

std::string_view header(const support::http_request &request, std::string_view name)
{
    const auto found = request.find(name);
    if (found == request.end())
        return {};
    const auto value = found->value();
    return {value.data(), value.size()};
}

result<work_class> readClass(std::string_view text)
{
    if (text.empty() || text == "normal")
        return work_class::Normal;
    if (text == "quick")
        return work_class::Quick;
    if (text == "long")
        return work_class::Long;
    return make_error_code(errc::Malformed);
}

std::optional<bool> readBool(std::string_view text, std::string_view absent)
{
    const auto value = text.empty() ? absent : text;
    if (value == "true")
        return true;
    if (value == "false")
        return false;
    return std::nullopt;
}

result<time_point> readDeadline(std::string_view text, time_point now)
{
    if (text.empty())
        return now + defaultRequestTimeout;
    std::uint32_t timeoutMs = 0;
    const auto *end = text.data() + text.size();
    const auto conversion = std::from_chars(text.data(), end, timeoutMs);
    if (conversion.ec != std::errc {} || conversion.ptr != end)
        return make_error_code(errc::Malformed);
    return now + std::min(std::chrono::milliseconds(timeoutMs), maxRequestTimeout);
}

// Default of Plantaingap-Idempotent: true for GET and HEAD.
std::string_view idempotentByMethod(http::verb method)
{
    const bool safe = method == http::verb::get || method == http::verb::head;
    return safe ? "true" : "false";
}

std::error_code readHeaders(const support::http_request &request, time_point now,
                            service_request &parsed)
{
    const auto declared = readClass(header(request, "Plantaingap-Class"));
    if (declared.has_error())
        return declared.error();
    const auto idempotent =
        readBool(header(request, "Plantaingap-Idempotent"), idempotentByMethod(request.method()));
    if (!idempotent)
        return errc::Malformed;
    const auto deadline = readDeadline(header(request, "Plantaingap-Deadline-Ms"), now);
    if (deadline.has_error())
        return deadline.error();
    parsed.kind = header(request, "Plantaingap-Kind");
    parsed.key = header(request, "Plantaingap-Request-Key");
    if (parsed.kind.size() > maxKeyBytes || parsed.key.size() > maxKeyBytes)
        return errc::Malformed;
    if (!*idempotent && parsed.key.empty())
        return errc::Malformed;
    parsed.declared = *declared;
    parsed.idempotent = *idempotent;
    parsed.deadline = *deadline;
    return {};
}

std::chrono::milliseconds timeUntil(time_point then, time_point now)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(then - now);
    return std::max(left, std::chrono::milliseconds(0));
}

support::http_response writeRefusal(const service_response &refused, time_point now)
{
    const auto &row = refusalFormat(refused.code);
    const auto retryAfter = timeUntil(refused.retryAt, now);
    boost::json::object body;
    body["code"] = row.name;
    body["run"] = runNames[static_cast<std::size_t>(refused.run)];
    body["retry_after_ms"] = retryAfter.count();
    auto response = support::jsonResponse(row.status, boost::json::serialize(body));
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    response.set(http::field::retry_after, std::to_string(seconds.count()));
    return response;
}

} // namespace

result<service_request> readCallerRequest(support::http_request &&request, time_point now)
{
    std::string_view target(request.target().data(), request.target().size());
    if (!target.starts_with(servicesPrefix))
        return make_error_code(errc::NotFound);
    target.remove_prefix(servicesPrefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    service_request parsed;
    parsed.service = target.substr(0, end);
    if (parsed.service.empty())
        return make_error_code(errc::NotFound);
    if (const auto error = readHeaders(request, now, parsed))
        return error;
    parsed.target = target.substr(end);
    parsed.method = http::to_string(request.method());
    parsed.contentType = header(request, "Content-Type");
    parsed.body = std::move(request.body());
    return parsed;
}

support::http_response writeCallerResponse(const service_response &response,
                                           std::string_view requestName, time_point now)
{
    support::http_response message;
    if (response.code == errc::Ok)
        message = support::makeResponse(http::int_to_status(response.status), response.contentType,
                                        response.body);
    else
        message = writeRefusal(response, now);
    message.set("Plantaingap-Run", runNames[static_cast<std::size_t>(response.run)]);
    message.set("Plantaingap-Request-Id", requestName);
    if (!response.worker.empty())
        message.set("Plantaingap-Worker", response.worker);
    return message;
}

} // namespace plantaingap::caller
