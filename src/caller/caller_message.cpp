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

struct refusal_row
{
    errc code;
    std::string_view name;
    http::status status;
};

constexpr std::array<refusal_row, 12> refusals = {{
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

constexpr refusal_row otherRefusal {errc::NotReady, "refused", http::status::service_unavailable};

const refusal_row &refusalRow(errc code)
{
    const auto *found = std::find_if(refusals.begin(), refusals.end(),
                                     [code](const auto &row) { return row.code == code; });
    return found == refusals.end() ? otherRefusal : *found;
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
        return now + defaultPatience;
    std::uint32_t left = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, left);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return make_error_code(errc::Malformed);
    return now + std::min(std::chrono::milliseconds(left), longestPatience);
}

// Methods that change nothing may be sent again unless the caller says otherwise.
std::string_view idempotentByMethod(http::verb method)
{
    const bool safe = method == http::verb::get || method == http::verb::head;
    return safe ? "true" : "false";
}

std::error_code readHeaders(const support::http_request &request, time_point now,
                            service_request &read)
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
    read.kind = header(request, "Plantaingap-Kind");
    read.key = header(request, "Plantaingap-Request-Key");
    if (read.kind.size() > keyLimit || read.key.size() > keyLimit)
        return errc::Malformed;
    if (!*idempotent && read.key.empty())
        return errc::Malformed;
    read.declared = *declared;
    read.idempotent = *idempotent;
    read.deadline = *deadline;
    return {};
}

std::chrono::milliseconds timeUntil(time_point then, time_point now)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(then - now);
    return std::max(left, std::chrono::milliseconds(0));
}

support::http_response writeRefusal(const service_response &answer, time_point now)
{
    const auto &row = refusalRow(answer.code);
    const auto retryAfter = timeUntil(answer.retryAt, now);
    boost::json::object body;
    body["code"] = row.name;
    body["run"] = runNames[static_cast<std::size_t>(answer.run)];
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
    service_request read;
    read.service = target.substr(0, end);
    if (read.service.empty())
        return make_error_code(errc::NotFound);
    if (const auto error = readHeaders(request, now, read))
        return error;
    read.target = target.substr(end);
    read.method = http::to_string(request.method());
    read.contentType = header(request, "Content-Type");
    read.body = std::move(request.body());
    return read;
}

support::http_response writeCallerAnswer(const service_response &answer,
                                         std::string_view requestName, time_point now)
{
    support::http_response response;
    if (answer.code == errc::Ok)
        response = support::makeResponse(http::int_to_status(answer.status), answer.contentType,
                                         answer.body);
    else
        response = writeRefusal(answer, now);
    response.set("Plantaingap-Run", runNames[static_cast<std::size_t>(answer.run)]);
    response.set("Plantaingap-Request-Id", requestName);
    if (!answer.worker.empty())
        response.set("Plantaingap-Worker", answer.worker);
    return response;
}

} // namespace plantaingap::caller
