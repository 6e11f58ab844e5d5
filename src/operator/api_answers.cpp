#include "operator/api_answers.h"

#include <algorithm>
#include <array>

namespace plantaingap::operators {

namespace {

using boost::beast::http::status;

struct status_row
{
    errc code;
    status answer;
    std::string_view name;
};

// Errors that are not listed are the instance's own fault.
constexpr std::array<status_row, 11> statusRows {{
    {errc::Malformed, status::bad_request, "malformed"},
    {errc::Forbidden, status::forbidden, "forbidden"},
    {errc::NotFound, status::not_found, "not_found"},
    {errc::VersionConflict, status::conflict, "version_conflict"},
    {errc::DuplicateKey, status::conflict, "duplicate"},
    {errc::InvalidConfiguration, status::unprocessable_entity, "invalid_configuration"},
    {errc::TooLarge, status::payload_too_large, "too_large"},
    {errc::StoreUnavailable, status::service_unavailable, "store_away"},
    {errc::NotReady, status::service_unavailable, "not_ready"},
    {errc::Stopping, status::service_unavailable, "stopping"},
    {errc::OutcomeUnknown, status::gateway_timeout, "outcome_unknown"},
}};

const status_row *findRow(std::error_code error)
{
    const auto matches = [error](const status_row &row) { return error == row.code; };
    const auto found = std::ranges::find_if(statusRows, matches);
    return found == statusRows.end() ? nullptr : &*found;
}

} // namespace

status statusOf(std::error_code error)
{
    const auto *row = findRow(error);
    return row ? row->answer : status::internal_server_error;
}

std::string_view codeName(std::error_code error)
{
    const auto *row = findRow(error);
    return row ? row->name : "internal";
}

support::http_response refuse(std::error_code error, refusal_message refusal)
{
    refusal.code = codeName(error);
    if (refusal.message.empty())
        refusal.message = error.message();
    return support::jsonResponse(statusOf(error), writeText(refusal, defaults::Omitted));
}

} // namespace plantaingap::operators
