#include "platform/platform_client.h"

#include "platform/list_codec.h"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace plantaingap::platform {

namespace json = boost::json;
namespace http = boost::beast::http;
using support::http_response;

namespace {

std::string percentEncoded(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::optional<table_row> rowFromJson(const json::value &value)
{
    const auto *object = value.if_object();
    const auto *key = object ? object->if_contains("key") : nullptr;
    const auto *version = object ? object->if_contains("version") : nullptr;
    const auto *content = object ? object->if_contains("value") : nullptr;
    if (!key || !key->is_string() || !version || !content || !content->is_string())
        return std::nullopt;
    boost::system::error_code error;
    const auto number = version->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    return table_row {std::string(key->get_string()), number, std::string(content->get_string())};
}

result<json::value> parseBody(const http_response &response)
{
    boost::system::error_code error;
    auto document = json::parse(response.body(), error);
    if (error)
        return make_error_code(errc::Malformed);
    return document;
}

result<std::vector<table_row>> rowsFrom(const http_response &response)
{
    const auto document = parseBody(response);
    if (document.has_error())
        return document.error();
    const auto *object = document->if_object();
    const auto *rows = object ? object->if_contains("rows") : nullptr;
    if (!rows || !rows->is_array())
        return make_error_code(errc::Malformed);
    std::vector<table_row> decoded;
    for (const auto &entry : rows->get_array()) {
        auto row = rowFromJson(entry);
        if (!row)
            return make_error_code(errc::Malformed);
        decoded.push_back(std::move(*row));
    }
    return decoded;
}

std::vector<write_outcome> outcomesFrom(const http_response &response, std::size_t count)
{
    std::vector<write_outcome> outcomes(count, write_outcome::Unknown);
    const auto document = parseBody(response);
    const auto *object = document.has_value() ? document->if_object() : nullptr;
    const auto *list = object ? object->if_contains("outcomes") : nullptr;
    if (!list || !list->is_array() || list->get_array().size() != count)
        return outcomes;
    for (std::size_t index = 0; index < count; ++index) {
        if (list->get_array()[index] == "applied")
            outcomes[index] = write_outcome::Applied;
        else if (list->get_array()[index] == "conflict")
            outcomes[index] = write_outcome::Conflict;
    }
    return outcomes;
}

// Indexed by change_kind.
constexpr std::array<const char *, 3> kindNames = {"write", "check", "remove"};

std::string commitBody(const std::vector<table_change> &changes, commit_mode mode)
{
    json::array rows;
    for (const auto &change : changes) {
        rows.push_back(
            json::object {{"key", change.key},
                          {"expect", change.expect},
                          {"value", change.value},
                          {"kind", kindNames.at(static_cast<std::size_t>(change.kind))}});
    }
    const char *name = mode == commit_mode::AllOrNone ? "all" : "each";
    return json::serialize(json::object {{"mode", name}, {"rows", std::move(rows)}});
}

} // namespace

platform_client::platform_client(boost::asio::io_context &context,
                                 boost::asio::ip::tcp::endpoint server,
                                 std::shared_ptr<boost::asio::ssl::context> tls)
    : m_client(context, std::move(server), maxIdleConnections, std::move(tls))
{ }

boost::asio::awaitable<result<std::optional<table_row>>> platform_client::read(std::string key,
                                                                               time_point deadline)
{
    const auto outcome = co_await m_client.fetch(
        support::makeRequest(http::verb::get, "/table/row?key=" + percentEncoded(key), ""),
        deadline);
    if (outcome.has_error())
        co_return make_error_code(errc::StoreUnavailable);
    if (outcome->result() == http::status::not_found)
        co_return std::optional<table_row>();
    if (outcome->result() != http::status::ok)
        co_return make_error_code(errc::StoreUnavailable);
    const auto document = parseBody(*outcome);
    auto row = document.has_value() ? rowFromJson(*document) : std::nullopt;
    if (!row)
        co_return make_error_code(errc::Malformed);
    co_return row;
}

boost::asio::awaitable<result<std::vector<table_row>>>
platform_client::readRange(std::string prefix, time_point deadline)
{
    const auto outcome = co_await m_client.fetch(
        support::makeRequest(http::verb::get, "/table/range?prefix=" + percentEncoded(prefix), ""),
        deadline);
    if (outcome.has_error() || outcome->result() != http::status::ok)
        co_return make_error_code(errc::StoreUnavailable);
    co_return rowsFrom(*outcome);
}

boost::asio::awaitable<std::vector<write_outcome>>
platform_client::commit(std::vector<table_change> changes, commit_mode mode, time_point deadline)
{
    const auto outcome = co_await m_client.fetch(
        support::makeRequest(http::verb::post, "/table/commit", commitBody(changes, mode)),
        deadline);
    if (outcome.has_error()) {
        const auto failed =
            outcome.error().written ? write_outcome::Unknown : write_outcome::NotSent;
        co_return std::vector<write_outcome>(changes.size(), failed);
    }
    // The platform responds with 503 only before it changes a row; other errors may follow a
    // change.
    if (outcome->result() == http::status::service_unavailable)
        co_return std::vector<write_outcome>(changes.size(), write_outcome::NotSent);
    if (outcome->result() != http::status::ok)
        co_return std::vector<write_outcome>(changes.size(), write_outcome::Unknown);
    co_return outcomesFrom(*outcome, changes.size());
}

boost::asio::awaitable<result<std::string>> platform_client::readObject(std::string key,
                                                                        time_point deadline)
{
    const auto outcome = co_await m_client.fetch(
        support::makeRequest(http::verb::get, "/objects?key=" + percentEncoded(key), ""), deadline);
    if (outcome.has_error())
        co_return make_error_code(errc::StoreUnavailable);
    if (outcome->result() == http::status::not_found)
        co_return make_error_code(errc::NotFound);
    if (outcome->result() != http::status::ok)
        co_return make_error_code(errc::StoreUnavailable);
    co_return outcome->body();
}

boost::asio::awaitable<std::error_code>
platform_client::writeObject(std::string key, std::string content, time_point deadline)
{
    const auto outcome = co_await m_client.fetch(
        support::makeRequest(http::verb::put, "/objects?key=" + percentEncoded(key),
                             std::move(content), "application/octet-stream"),
        deadline);
    const bool written = outcome.has_value() && outcome->result() == http::status::ok;
    co_return written ? std::error_code() : make_error_code(errc::StoreUnavailable);
}

boost::asio::awaitable<result<platform_list>> platform_client::readList(time_point deadline)
{
    const auto outcome =
        co_await m_client.fetch(support::makeRequest(http::verb::get, "/instances", ""), deadline);
    if (outcome.has_error() || outcome->result() != http::status::ok)
        co_return make_error_code(errc::StoreUnavailable);
    const auto document = parseBody(*outcome);
    if (document.has_error())
        co_return document.error();
    co_return listFromJson(*document);
}

} // namespace plantaingap::platform
