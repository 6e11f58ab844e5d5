#include "stand_ins.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <condition_variable>
#include <mutex>
#include <tuple>

// The platform's table store, as the users' PROTOCOL.md describes it: rows with revisions,
// transactions with conditions, reads of ranges and feeds of changes.
namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxCallBytes = 1'000'000;
constexpr std::size_t maxRowBytes = 65'536;
constexpr std::size_t maxRowsRead = 500;

using row_name = std::tuple<std::string, std::string, std::string>;

struct row
{
    std::string value;
    std::int64_t revision = 0;
    bool deleted = false;
};

std::string text(const json::object &object, std::string_view name)
{
    const auto *found = object.if_contains(name);
    return found && found->is_string() ? std::string(found->get_string()) : std::string();
}

const json::array &list(const json::object &object, std::string_view name)
{
    static const json::array none;
    const auto *found = object.if_contains(name);
    return found && found->is_array() ? found->get_array() : none;
}

row_name nameOf(const json::object &entry)
{
    return {text(entry, "table"), text(entry, "part"), text(entry, "key")};
}

class table_store
{
public:
    response handle(request &received)
    {
        const auto path = pathOf(received.target());
        if (path == "/rows-tx")
            return transact(received);
        if (path == "/rows-get")
            return read(queryOf(received.target()));
        if (path == "/rows-feed")
            return feed(queryOf(received.target()));
        return reply(404);
    }

private:
    json::object rowJson(const row_name &name, const row &stored) const
    {
        json::object found {{"table", std::get<0>(name)},
                            {"part", std::get<1>(name)},
                            {"key", std::get<2>(name)},
                            {"api_version", stored.revision}};
        if (stored.deleted)
            found["deleted"] = true;
        else
            found["value"] = stored.value;
        return found;
    }

    json::object page(json::array rows) const
    {
        return {{"rows", std::move(rows)},
                {"has_more", false},
                {"api_version", m_revision},
                {"now_ms", steadyMs()}};
    }

    response refuse(const std::string &reason) const
    {
        record("store rejects a write with 400: " + reason);
        return reply(400, json::object {{"reason", reason}});
    }

    response transact(request &received)
    {
        const auto body = json::parse(received.body()).as_object();
        const auto &conditions = list(body, "expect_rev");
        const auto &sets = list(body, "set_keys");
        const auto &drops = list(body, "remove");
        if (received.body().size() > maxCallBytes)
            return refuse("the call has " + std::to_string(received.body().size()) + " bytes");
        if (conditions.size() + sets.size() + drops.size() > maxEntries)
            return refuse("the call has too many entries");
        for (const auto &each : sets) {
            const auto bytes = fromBase64(text(each.as_object(), "value")).size();
            if (bytes > maxRowBytes)
                return refuse("row " + text(each.as_object(), "table") + "/"
                              + text(each.as_object(), "key") + " has " + std::to_string(bytes)
                              + " bytes");
        }
        const std::scoped_lock lock(m_mutex);
        json::array current;
        bool holds = true;
        for (const auto &each : conditions) {
            const auto name = nameOf(each.as_object());
            const auto found = m_rows.find(name);
            const bool there = found != m_rows.end() && !found->second.deleted;
            holds = holds
                    && each.at("api_version").to_number<std::int64_t>()
                           == (there ? found->second.revision : 0);
            if (there)
                current.push_back(rowJson(name, found->second));
        }
        if (!holds)
            return reply(412, page(std::move(current)));
        ++m_revision;
        for (const auto &each : sets)
            m_rows[nameOf(each.as_object())] = {text(each.as_object(), "value"), m_revision, false};
        for (const auto &each : drops) {
            const auto found = m_rows.find(nameOf(each.as_object()));
            if (found != m_rows.end())
                found->second = {{}, m_revision, true};
        }
        m_changed.notify_all();
        return reply(200, json::object {{"api_version", m_revision}, {"now_ms", steadyMs()}});
    }

    response read(std::map<std::string, std::string> query)
    {
        const std::scoped_lock lock(m_mutex);
        json::array rows;
        bool more = false;
        for (auto at = m_rows.lower_bound({query["table"], query["part"], query["from"]});
             at != m_rows.end(); ++at) {
            const auto &[table, part, key] = at->first;
            if (table != query["table"] || part != query["part"]
                || (!query["to"].empty() && key >= query["to"]))
                break;
            if (at->second.deleted)
                continue;
            more = rows.size() == maxRowsRead;
            if (more)
                break;
            rows.push_back(rowJson(at->first, at->second));
        }
        auto found = page(std::move(rows));
        found["has_more"] = more;
        return reply(200, found);
    }

    response feed(std::map<std::string, std::string> query)
    {
        const auto after = std::stoll(query["after"]);
        std::unique_lock lock(m_mutex);
        const auto changes = [&] {
            std::map<std::int64_t, json::array> found;
            for (auto at = m_rows.lower_bound({query["table"], "", ""});
                 at != m_rows.end() && std::get<0>(at->first) == query["table"]; ++at) {
                if (at->second.revision > after)
                    found[at->second.revision].push_back(rowJson(at->first, at->second));
            }
            return found;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(std::stoll(query["wait_ms"])),
                           [&] { return !changes().empty(); });
        json::array rows;
        for (auto &[revision, changed] : changes()) {
            for (auto &each : changed)
                rows.push_back(std::move(each));
        }
        return reply(200, page(std::move(rows)));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_name, row> m_rows;
    std::int64_t m_revision = 1;
};

} // namespace

int runStore(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(1));
    table_store store;
    serve(static_cast<std::uint16_t>(std::stoi(arguments.at(0))),
          [&store](request &received) { return store.handle(received); });
    return 0;
}

bool putRow(std::uint16_t storePort, const std::string &table, const std::string &key,
            const json::value &value)
{
    const json::object change {
        {"expect_rev", json::array()},
        {"set_keys", json::array {json::object {{"table", table},
                                                {"part", ""},
                                                {"key", key},
                                                {"value", toBase64(json::serialize(value))}}}},
        {"remove", json::array()}};
    const auto done = call(storePort, "POST", "/rows-tx", json::serialize(change), 2000);
    return done && done->status == 200;
}

bool dropRow(std::uint16_t storePort, const std::string &table, const std::string &key)
{
    const json::object change {
        {"expect_rev", json::array()},
        {"set_keys", json::array()},
        {"remove", json::array {json::object {{"table", table}, {"part", ""}, {"key", key}}}}};
    const auto done = call(storePort, "POST", "/rows-tx", json::serialize(change), 2000);
    return done && done->status == 200;
}

} // namespace review
