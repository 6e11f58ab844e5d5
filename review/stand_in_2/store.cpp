#include "store.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

// As the platform's pages name them.
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxCallBytes = std::size_t {1} << 20;
constexpr std::size_t rowBytes = 65'536;
constexpr std::size_t pageRows = 500;
constexpr std::size_t pageBytes = std::size_t {1} << 20;
constexpr milliseconds answerTime {4};
constexpr milliseconds transactionTime {8};
constexpr milliseconds feedPoll {10};

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(std::string_view bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j) {
            const bool filled = i + j <= bytes.size();
            out.push_back(filled ? alphabet[group >> (18 - 6 * j) & 63] : '=');
        }
    }
    return out;
}

std::string decode(std::string_view text)
{
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char letter : text) {
        const auto digit = alphabet.find(letter);
        if (digit == std::string_view::npos)
            break;
        group = group << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out.push_back(static_cast<char>(group >> bits & 255));
        }
    }
    return out;
}

std::size_t decodedSize(std::string_view text)
{
    const auto padding = static_cast<std::size_t>(std::ranges::count(text, '='));
    return text.size() / 4 * 3 - std::min<std::size_t>(padding, 2);
}

std::string parameter(std::string_view target, std::string_view name)
{
    const auto query = target.find('?');
    if (query == std::string_view::npos)
        return {};
    auto rest = target.substr(query + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (!pair.starts_with(name) || pair.size() <= name.size() || pair[name.size()] != '=')
            continue;
        std::string out;
        const auto value = pair.substr(name.size() + 1);
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (value[i] == '%' && i + 2 < value.size()) {
                out.push_back(
                    static_cast<char>(std::stoi(std::string(value.substr(i + 1, 2)), nullptr, 16)));
                i += 2;
            } else {
                out.push_back(value[i]);
            }
        }
        return out;
    }
    return {};
}

std::string textOf(const json::object &entry, std::string_view field)
{
    const auto *value = entry.if_contains(field);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

store::store(asio::io_context &context, record &log)
    : m_context(context)
    , m_log(log)
    , m_server(context,
               [this](request asked) -> asio::awaitable<response> {
                   co_return co_await handle(std::move(asked));
               })
    , m_start(steady_clock::now())
{ }

std::string store::versions() const
{
    const auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_start);
    return "\"api_version\":" + std::to_string(m_version)
           + ",\"now_ms\":" + std::to_string(now.count());
}

void store::changed(const row_name &name)
{
    m_history.push_back({m_version, name});
}

void store::put(const std::string &table, const std::string &key, const std::string &text)
{
    ++m_version;
    const row_name name {table, {}, key};
    m_rows[name] = {encode(text), m_version};
    changed(name);
}

void store::drop(const std::string &table, const std::string &key)
{
    ++m_version;
    const row_name name {table, {}, key};
    m_rows.erase(name);
    changed(name);
}

std::string store::text(const std::string &table, const std::string &key) const
{
    for (const auto &[name, found] : m_rows) {
        if (name.table == table && name.key == key)
            return decode(found.value);
    }
    return {};
}

json::object store::rowJson(const row_name &name) const
{
    json::object made {{"table", name.table}, {"part", name.part}, {"key", name.key}};
    const auto found = m_rows.find(name);
    if (found == m_rows.end()) {
        made["api_version"] = 0;
        made["deleted"] = true;
    } else {
        made["api_version"] = found->second.version;
        made["value"] = found->second.value;
    }
    return made;
}

response store::refuse(const std::string &reason)
{
    ++m_refusedForSize;
    m_log.write("store refuses a transaction: " + reason);
    return jsonAnswer(400, json::serialize(json::object {{"error", reason}}));
}

asio::awaitable<response> store::handle(request asked)
{
    const std::string target(asked.target());
    if (target.starts_with("/rows-tx"))
        co_return co_await transact(std::move(asked.body()));
    if (target.starts_with("/rows-feed")) {
        co_return co_await feed(parameter(target, "table"), std::stoull(parameter(target, "after")),
                                std::stol(parameter(target, "wait_ms")));
    }
    co_await sleepFor(m_context, answerTime);
    if (target.starts_with("/rows-get"))
        co_return range(asked);
    co_return jsonAnswer(404, "{}");
}

asio::awaitable<response> store::transact(std::string body)
{
    if (body.size() > maxCallBytes)
        co_return refuse("call of " + std::to_string(body.size()) + " bytes, over 1 MB");
    const auto value = json::parse(body);
    const auto &object = value.as_object();
    static const json::array none;
    const auto entries = [&object](std::string_view field) -> const json::array & {
        const auto *found = object.if_contains(field);
        return found ? found->as_array() : none;
    };
    const auto nameOf = [](const json::value &entry) {
        const auto &row = entry.as_object();
        return row_name {textOf(row, "table"), textOf(row, "part"), textOf(row, "key")};
    };
    const auto &expected = entries("expect_rev");
    const auto &puts = entries("set_keys");
    const auto &removals = entries("remove");
    if (expected.size() + puts.size() + removals.size() > maxEntries)
        co_return refuse("over 100 entries");
    std::string part;
    for (const auto &entry : puts) {
        const auto name = nameOf(entry);
        part = name.part;
        const auto size = decodedSize(textOf(entry.as_object(), "value"));
        m_largestRow = std::max(m_largestRow, size);
        if (size > rowBytes) {
            co_return refuse("row " + name.table + "/" + name.key + " of " + std::to_string(size)
                             + " bytes, over row_bytes 65536");
        }
    }
    // A part does one transaction after the other.
    auto &freeAt = m_partFreeAt[part];
    freeAt = std::max(freeAt, steady_clock::now()) + transactionTime;
    co_await sleepFor(m_context, std::chrono::duration_cast<milliseconds>(
                                     freeAt - steady_clock::now() + milliseconds(1)));
    json::array conflicts;
    for (const auto &entry : expected) {
        const auto name = nameOf(entry);
        const auto wanted = entry.as_object().at("api_version").to_number<std::uint64_t>();
        const auto found = m_rows.find(name);
        if (wanted != (found == m_rows.end() ? 0 : found->second.version))
            conflicts.push_back(rowJson(name));
    }
    if (!conflicts.empty()) {
        co_return jsonAnswer(412,
                             "{\"rows\":" + json::serialize(conflicts) + "," + versions() + "}");
    }
    ++m_version;
    for (const auto &entry : puts) {
        const auto name = nameOf(entry);
        m_rows[name] = {textOf(entry.as_object(), "value"), m_version};
        changed(name);
    }
    for (const auto &entry : removals) {
        const auto name = nameOf(entry);
        m_rows.erase(name);
        changed(name);
    }
    ++m_committed;
    m_lastCommitAt = m_log.seconds();
    co_return jsonAnswer(200, "{" + versions() + "}");
}

asio::awaitable<response> store::feed(std::string table, std::uint64_t after, long wait)
{
    const auto until = steady_clock::now() + milliseconds(std::min(wait, 30'000L));
    while (true) {
        json::array rows;
        auto first = std::ranges::upper_bound(m_history, after, {}, &change::version);
        std::vector<row_name> seen;
        for (auto it = first; it != m_history.end(); ++it) {
            const bool known = std::ranges::find(seen, it->name) != seen.end();
            if (it->name.table == table && !known) {
                seen.push_back(it->name);
                rows.push_back(rowJson(it->name));
            }
        }
        if (!rows.empty() || steady_clock::now() >= until)
            co_return jsonAnswer(200,
                                 "{\"rows\":" + json::serialize(rows) + "," + versions() + "}");
        co_await sleepFor(m_context, feedPoll);
    }
}

response store::range(const request &asked) const
{
    const std::string target(asked.target());
    const auto table = parameter(target, "table");
    const auto part = parameter(target, "part");
    const auto from = parameter(target, "from");
    const auto to = parameter(target, "to");
    json::array rows;
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = m_rows.lower_bound({table, part, from}); it != m_rows.end(); ++it) {
        if (it->first.table != table || it->first.part != part)
            break;
        if (!to.empty() && it->first.key >= to)
            break;
        bytes += it->second.value.size();
        if (rows.size() >= pageRows || (bytes > pageBytes && !rows.empty())) {
            more = true;
            break;
        }
        rows.push_back(rowJson(it->first));
    }
    return jsonAnswer(200, "{\"rows\":" + json::serialize(rows) + ",\"has_more\":"
                               + (more ? "true" : "false") + "," + versions() + "}");
}

} // namespace review
