#ifndef PLANTAINGAP_TOOLS_PLATFORM_STAND_IN_H
#define PLANTAINGAP_TOOLS_PLATFORM_STAND_IN_H

#include "platform/list_codec.h"
#include "support/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <string>
#include <vector>

// A stand-in for the platform's table, object store and list of instances, in memory, for tests
// and the demonstration. It can be told to be away, slow, or to lose replies: POST /control.
namespace plantaingap {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using support::http_peer;
using support::http_request;
using support::http_response;
using support::jsonResponse;
using support::queryParameter;

struct stored_row
{
    std::uint64_t version = 0;
    std::string value;
};

// What POST /control has ordered.
struct faults
{
    bool away = false;
    std::chrono::milliseconds delay {0};
    // So many commits still are applied without an answer that says so.
    std::uint64_t lostReplies = 0;
};

class platform_stand_in
{
public:
    explicit platform_stand_in(asio::io_context &context)
        : m_context(context)
    { }

    asio::awaitable<http_response> handle(http_request request)
    {
        const std::string path(support::targetPath(request.target()));
        if (path == "/control")
            co_return control(request);
        if (path == "/counts")
            co_return counts();
        if (m_faults.delay.count() > 0) {
            asio::steady_timer timer(m_context, m_faults.delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (m_faults.away)
            co_return jsonResponse(http::status::service_unavailable, R"({"error":"away"})");
        co_return route(path, request);
    }

    void setList(platform_list list) { m_list = std::move(list); }

private:
    http_response route(const std::string &path, const http_request &request)
    {
        const std::string target(request.target());
        if (path == "/table/row")
            return readRow(queryParameter(target, "key"));
        if (path == "/table/range")
            return readRange(queryParameter(target, "prefix"));
        if (path == "/table/commit" && request.method() == http::verb::post)
            return commit(request.body());
        if (path == "/objects" && request.method() == http::verb::put)
            return writeObject(queryParameter(target, "key"), request.body());
        if (path == "/objects")
            return readObject(queryParameter(target, "key"));
        if (path == "/instances")
            return jsonResponse(http::status::ok, json::serialize(platform::listToJson(m_list)));
        return jsonResponse(http::status::not_found, R"({"error":"no such path"})");
    }

    static json::object rowJson(const std::string &key, const stored_row &row)
    {
        return {{"key", key}, {"version", row.version}, {"value", row.value}};
    }

    http_response readRow(const std::string &key)
    {
        ++m_reads;
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
            return jsonResponse(http::status::not_found, "{}");
        return jsonResponse(http::status::ok, json::serialize(rowJson(key, found->second)));
    }

    http_response readRange(const std::string &prefix)
    {
        ++m_reads;
        json::array rows;
        for (auto at = m_rows.lower_bound(prefix);
             at != m_rows.end() && at->first.starts_with(prefix); ++at) {
            rows.push_back(rowJson(at->first, at->second));
        }
        return jsonResponse(http::status::ok,
                            json::serialize(json::object {{"rows", std::move(rows)}}));
    }

    http_response commit(const std::string &body)
    {
        boost::system::error_code error;
        const auto document = json::parse(body, error);
        if (error || !document.is_object() || !document.get_object().contains("rows"))
            return jsonResponse(http::status::bad_request, "{}");
        ++m_writes;
        const auto &object = document.get_object();
        const auto &rows = object.at("rows").as_array();
        std::vector<bool> matches;
        for (const auto &row : rows)
            matches.push_back(versionOf(std::string(row.at("key").as_string()))
                              == row.at("expect").to_number<std::uint64_t>());
        const bool together = object.at("mode") == "all";
        const bool allMatch = std::find(matches.begin(), matches.end(), false) == matches.end();
        json::array outcomes;
        for (std::size_t at = 0; at < rows.size(); ++at) {
            const bool apply = together ? allMatch : matches[at];
            if (apply)
                carryOut(rows[at]);
            outcomes.push_back(apply ? "applied" : "conflict");
        }
        if (m_faults.lostReplies > 0) {
            --m_faults.lostReplies;
            return jsonResponse(http::status::gateway_timeout, R"({"error":"reply lost"})");
        }
        return jsonResponse(http::status::ok,
                            json::serialize(json::object {{"outcomes", std::move(outcomes)}}));
    }

    std::uint64_t versionOf(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? 0 : found->second.version;
    }

    void carryOut(const json::value &change)
    {
        const std::string key(change.at("key").as_string());
        if (change.at("kind") == "write")
            write(key, std::string(change.at("value").as_string()));
        else if (change.at("kind") == "remove")
            m_rows.erase(key);
    }

    void write(const std::string &key, std::string value)
    {
        auto &row = m_rows[key];
        ++row.version;
        row.value = std::move(value);
    }

    http_response writeObject(const std::string &key, std::string content)
    {
        ++m_writes;
        m_objects[key] = std::move(content);
        return jsonResponse(http::status::ok, "{}");
    }

    http_response readObject(const std::string &key)
    {
        ++m_reads;
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            return jsonResponse(http::status::not_found, "{}");
        return support::makeResponse(http::status::ok, "application/octet-stream", found->second);
    }

    http_response control(const http_request &request)
    {
        boost::system::error_code error;
        const auto document = json::parse(request.body(), error);
        if (error || !document.is_object())
            return jsonResponse(http::status::bad_request, "{}");
        const auto &object = document.get_object();
        if (const auto *away = object.if_contains("away"))
            m_faults.away = away->as_bool();
        if (const auto *delay = object.if_contains("delay_ms"))
            m_faults.delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
        if (const auto *lost = object.if_contains("lose_replies"))
            m_faults.lostReplies = lost->to_number<std::uint64_t>();
        if (const auto *list = object.if_contains("list")) {
            auto replaced = platform::listFromJson(*list);
            if (replaced.has_error())
                return jsonResponse(http::status::bad_request, "{}");
            const auto next = m_list.revision + 1;
            m_list = std::move(*replaced);
            m_list.revision = next;
        }
        return jsonResponse(http::status::ok, "{}");
    }

    http_response counts() const
    {
        return jsonResponse(
            http::status::ok,
            json::serialize(
                json::object {{"reads", m_reads}, {"writes", m_writes}, {"rows", m_rows.size()}}));
    }

    asio::io_context &m_context;
    std::map<std::string, stored_row> m_rows;
    std::map<std::string, std::string> m_objects;
    platform_list m_list;
    faults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace plantaingap

#endif
