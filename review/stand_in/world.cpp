#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <openssl/evp.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Figures of the pages for a small installation.
constexpr std::size_t rowBytes = 65'536;
constexpr std::size_t transactionBytes = 1'000'000;
constexpr std::size_t transactionEntries = 100;
constexpr std::int64_t transactionMs = 8;
constexpr std::int64_t readMs = 4;
constexpr std::int64_t holdMaxMs = 10'000;
constexpr std::int64_t stopMs = 150;
constexpr std::int64_t reportMs = 1500;
constexpr std::int64_t saveMs = 500;
constexpr std::size_t endsListed = 500;
constexpr std::size_t channels = 64;

// A loopback address for each process, so that several may run at a time.
asio::ip::address_v4 ownAddress()
{
    const auto number = static_cast<unsigned>(::getpid());
    return asio::ip::address_v4(
        asio::ip::address_v4::bytes_type {127, static_cast<unsigned char>(1 + number % 250),
                                          static_cast<unsigned char>(1 + number / 250 % 250), 7});
}

const auto processStart = std::chrono::steady_clock::now();

response reply(unsigned status, const json::value &body)
{
    response out {static_cast<http::status>(status), 11};
    out.set(http::field::content_type, "application/json");
    out.body() = json::serialize(body);
    out.prepare_payload();
    return out;
}

std::string encode64(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

std::string decode64(std::string_view text)
{
    std::string out(text.size() / 4 * 3 + 3, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < 0)
        return {};
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(static_cast<std::size_t>(length) - padding);
    return out;
}

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(
                static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> found;
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return found;
    std::stringstream parts {std::string(target.substr(mark + 1))};
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            found[part.substr(0, equals)] = percentDecode(part.substr(equals + 1));
    }
    return found;
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::int64_t numberOf(const json::object &body, std::string_view name, std::int64_t otherwise)
{
    const auto *value = body.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : otherwise;
}

std::string textOf(const json::object &body, std::string_view name)
{
    const auto *value = body.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

awaitable<void> pause(std::int64_t milliseconds)
{
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asTuple);
}

awaitable<void> serve(tcp::socket socket, std::shared_ptr<path> link, handler handle)
{
    const auto shared = std::make_shared<beast::tcp_stream>(std::move(socket));
    auto &stream = *shared;
    std::erase_if(link->streams, [](const auto &one) { return one.expired(); });
    link->streams.push_back(shared);
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(16U << 20U);
        const auto [readError, bytes] = co_await http::async_read(stream, buffer, parser, asTuple);
        if (readError || link->down)
            co_return;
        bool lost = link->cut;
        response answered;
        if (!lost) {
            answered = co_await handle(parser.release());
            lost = link->cut;
        }
        if (link->down || !stream.socket().is_open())
            co_return;
        if (lost) {
            // Nothing more passes on this connection; it ends with the cut or with its peer.
            while (link->cut && !link->down)
                co_await pause(20);
            co_return;
        }
        answered.keep_alive(true);
        const auto [writeError, written] = co_await http::async_write(stream, answered, asTuple);
        if (writeError)
            co_return;
    }
}

awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, std::shared_ptr<path> link,
                       handler handle)
{
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(asTuple);
        if (error)
            co_return;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        if (link->down || (link->full && link->full()))
            continue;
        asio::co_spawn(acceptor->get_executor(), serve(std::move(socket), link, handle),
                       asio::detached);
    }
}

// Ports below those that the system gives to outgoing connections.
std::uint16_t freePort()
{
    static std::uint16_t next = 12'000;
    asio::io_context context;
    while (true) {
        tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind(tcp::endpoint(ownAddress(), ++next), error);
        if (!error)
            return next;
    }
}

} // namespace

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::size_t path::open() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(streams, [](const auto &one) { return !one.expired(); }));
}

void path::closeAll()
{
    for (auto &one : std::exchange(streams, {})) {
        if (const auto stream = one.lock())
            stream->close();
    }
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - processStart)
        .count();
}

void record::line(const std::string &text)
{
    m_out << nowMs() << ' ' << text << std::endl;
}

std::uint16_t listen(asio::io_context &context, std::shared_ptr<path> link, handler handle)
{
    auto acceptor = std::make_shared<tcp::acceptor>(context, tcp::endpoint(ownAddress(), 0));
    const auto port = acceptor->local_endpoint().port();
    asio::co_spawn(context, accept(acceptor, std::move(link), std::move(handle)), asio::detached);
    return port;
}

// Store.

store::store(asio::io_context &context, record &log)
    : m_context(context)
    , m_log(log)
{ }

std::uint16_t store::listenFor(int instance, std::shared_ptr<path> link, address_of addresses)
{
    return listen(m_context, std::move(link), [this, instance, addresses](request incoming) {
        return handle(std::move(incoming), instance, addresses);
    });
}

void store::put(const std::string &table, const std::string &key, const std::string &value)
{
    apply({table, "", key}, value.empty() ? std::nullopt : std::optional(value), ++m_version);
}

std::string store::get(const std::string &table, const std::string &part,
                       const std::string &key) const
{
    const auto found = m_rows.find({table, part, key});
    return found == m_rows.end() ? std::string() : found->second.value;
}

void store::apply(const key_type &key, std::optional<std::string> value, std::uint64_t version)
{
    if (value) {
        m_rows[key] = {*value, version};
        m_history.push_back({key, *value, version, false});
    } else if (m_rows.erase(key) > 0) {
        m_history.push_back({key, {}, version, true});
    }
}

json::object store::encode(const key_type &key, const std::string &value, std::uint64_t version,
                           int instance, const address_of &addresses) const
{
    const auto &[table, part, name] = key;
    auto told = value;
    if (table == "servers") {
        auto entry = json::parse(value).as_object();
        entry["address"] = addresses(name, instance);
        told = json::serialize(entry);
    }
    return {{"table", table},
            {"part", part},
            {"key", name},
            {"value", encode64(told)},
            {"api_version", version}};
}

response store::transact(const json::value &body)
{
    const auto &change = body.as_object();
    const auto keyOf = [](const json::value &row) {
        const auto &fields = row.as_object();
        return key_type {textOf(fields, "table"), textOf(fields, "part"), textOf(fields, "key")};
    };
    const auto &expected = change.at("expect_rev").as_array();
    const auto &puts = change.at("set_keys").as_array();
    const auto &removed = change.at("remove").as_array();
    if (expected.size() + puts.size() + removed.size() > transactionEntries) {
        ++m_refusedWrites;
        m_log.line("store refuses a transaction of more than 100 entries");
        return reply(400, json::object {{"error", "entries"}});
    }
    for (const auto &row : puts) {
        const auto bytes = decode64(textOf(row.as_object(), "value")).size();
        if (bytes > rowBytes) {
            ++m_refusedWrites;
            m_log.line("store refuses a row of " + std::to_string(bytes) + " bytes in table "
                       + std::get<0>(keyOf(row)));
            return reply(400, json::object {{"error", "row"}});
        }
    }
    json::array conflicts;
    for (const auto &row : expected) {
        const auto key = keyOf(row);
        const auto found = m_rows.find(key);
        const auto version = found == m_rows.end() ? 0 : found->second.version;
        if (version != row.as_object().at("api_version").to_number<std::uint64_t>()) {
            const auto value = found == m_rows.end() ? std::string() : found->second.value;
            conflicts.push_back(encode(key, value, version, 0, {}));
        }
    }
    if (!conflicts.empty()) {
        return reply(412, json::object {{"api_version", m_version},
                                        {"now_ms", nowMs()},
                                        {"rows", std::move(conflicts)}});
    }
    ++m_version;
    for (const auto &row : puts)
        apply(keyOf(row), decode64(textOf(row.as_object(), "value")), m_version);
    for (const auto &row : removed)
        apply(keyOf(row), std::nullopt, m_version);
    return reply(200, json::object {{"api_version", m_version}, {"now_ms", nowMs()}});
}

awaitable<response> store::handle(request incoming, int instance, address_of addresses)
{
    const auto path = pathOf(incoming.target());
    const auto query = queryOf(incoming.target());
    const auto value = [&query](const std::string &name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (path == "/rows-tx") {
        co_await pause(transactionMs);
        if (incoming.body().size() > transactionBytes) {
            ++m_refusedWrites;
            m_log.line("store refuses a transaction of " + std::to_string(incoming.body().size())
                       + " bytes");
            co_return reply(400, json::object {{"error", "size"}});
        }
        boost::system::error_code error;
        const auto body = json::parse(incoming.body(), error);
        co_return error ? reply(400, json::object {}) : transact(body);
    }
    if (path == "/rows-get") {
        co_await pause(readMs);
        json::array rows;
        const auto table = value("table");
        const auto part = value("part");
        const auto to = value("to");
        std::size_t bytes = 0;
        bool more = false;
        for (auto it = m_rows.lower_bound({table, part, value("from")}); it != m_rows.end(); ++it) {
            const auto &[rowTable, rowPart, rowKey] = it->first;
            if (rowTable != table || rowPart != part || (!to.empty() && rowKey >= to))
                break;
            bytes += it->second.value.size();
            if (rows.size() >= 500 || (bytes > transactionBytes && !rows.empty())) {
                more = true;
                break;
            }
            rows.push_back(
                encode(it->first, it->second.value, it->second.version, instance, addresses));
        }
        co_return reply(200, json::object {{"rows", std::move(rows)},
                                           {"has_more", more},
                                           {"api_version", m_version},
                                           {"now_ms", nowMs()}});
    }
    if (path == "/rows-feed") {
        const auto table = value("table");
        const auto after = std::stoull(value("after"));
        const auto until = nowMs() + std::stoll(value("wait_ms"));
        json::array rows;
        while (true) {
            const auto first = std::ranges::upper_bound(m_history, after, {}, &change::version);
            for (auto it = first; it != m_history.end(); ++it) {
                if (std::get<0>(it->key) != table)
                    continue;
                auto row = it->removed
                               ? json::object {{"table", table},
                                               {"part", std::get<1>(it->key)},
                                               {"key", std::get<2>(it->key)},
                                               {"api_version", it->version},
                                               {"deleted", true}}
                               : encode(it->key, it->value, it->version, instance, addresses);
                rows.push_back(std::move(row));
            }
            if (!rows.empty() || nowMs() >= until)
                break;
            co_await pause(5);
        }
        co_return reply(200, json::object {{"rows", std::move(rows)},
                                           {"api_version", m_version},
                                           {"now_ms", nowMs()}});
    }
    co_return reply(404, json::object {});
}

// Workers.

worker::worker(asio::io_context &context, record &log, store &table, std::string id,
               std::string rack, worker_kind kind, int instances, work_of work,
               std::vector<run_record> &runs)
    : m_context(context)
    , m_log(log)
    , m_table(table)
    , m_id(std::move(id))
    , m_rack(std::move(rack))
    , m_work(std::move(work))
    , m_runs(runs)
{
    for (int i = 0; i < instances; ++i) {
        m_links.push_back(std::make_shared<path>());
        m_links.back()->full = [this] {
            std::size_t open = 0;
            for (const auto &link : m_links)
                open += link->open();
            return open >= channels;
        };
        m_ports.push_back(listen(context, m_links.back(),
                                 [this](request incoming) { return handle(std::move(incoming)); }));
    }
    start(std::move(kind));
}

std::string worker::addressFor(int instance) const
{
    return ownAddress().to_string() + ":"
           + std::to_string(m_ports.at(static_cast<std::size_t>(instance)));
}

bool worker::runs(const std::string &taskPrefix) const
{
    return std::ranges::any_of(
        m_active, [&](const auto &entry) { return entry.first.starts_with(taskPrefix); });
}

void worker::crash()
{
    m_log.line("worker " + m_id + " crashes with " + std::to_string(m_active.size()) + " runs");
    for (const auto &[task, run] : m_active) {
        m_runs[run.recordIndex].endedAt = nowMs();
        m_runs[run.recordIndex].how = "crash";
    }
    m_active.clear();
    m_up = false;
    for (auto &link : m_links) {
        link->down = true;
        link->closeAll();
    }
}

void worker::start(worker_kind kind)
{
    m_kind = std::move(kind);
    m_up = true;
    m_bootAt = nowMs();
    m_born = wallMs();
    m_fence = 0;
    m_leaseEnd = 0;
    m_nextEnd = 1;
    m_sequence = 0;
    m_over.clear();
    m_ended.clear();
    m_reportAt = 0;
    m_lastReportAt = nowMs();
    for (auto &link : m_links)
        link->down = false;
    m_log.line("worker " + m_id + " starts, label " + m_kind.label);
    tick();
}

void worker::end(const std::string &task, const std::string &how)
{
    const auto found = m_active.find(task);
    auto &run = found->second;
    m_runs[run.recordIndex].endedAt = nowMs();
    m_runs[run.recordIndex].how = how;
    m_log.line("run " + task + " attempt " + std::to_string(run.attempt) + " on " + m_id + " ends "
               + how);
    m_ended.push_back({m_nextEnd++, task, run.attempt, how, run.saved, run.recordIndex, false});
    m_over[task] = std::max(m_over[task], run.attempt);
    m_active.erase(found);
}

void worker::tick()
{
    const auto now = nowMs();
    if (!m_up) {
        // The platform removes the entry after three reports are missing.
        if (m_lastReportAt > 0 && now - m_lastReportAt > 3 * reportMs) {
            m_table.put("servers", m_id, {});
            m_lastReportAt = 0;
        }
        return;
    }
    if (!reachesStore && m_lastReportAt > 0 && now - m_lastReportAt > 3 * reportMs) {
        m_table.put("servers", m_id, {});
        m_lastReportAt = 0;
    }
    if (reachesStore && now >= m_reportAt) {
        m_reportAt = now + reportMs;
        m_lastReportAt = now;
        m_table.put(
            "servers", m_id,
            json::serialize(json::object {
                {"service", "planner"},
                {"address", "-"},
                {"zone", "z-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_ms", 0},
                {"capacity",
                 json::object {{"cpu", m_kind.cpu}, {"mem_mb", m_kind.memory}, {"gpus", 0}}},
                {"labels", json::array {m_kind.label, m_rack}},
                {"born", m_born},
                {"time_ms", clock()},
                {"seq", ++m_sequence}}));
    }
    // What has ended before a lease lapsed is not judged.
    if (clock() >= m_leaseEnd) {
        for (auto &run : m_ended)
            run.lapsed = true;
    }
    std::vector<std::pair<std::string, std::string>> over;
    for (auto &[task, run] : m_active) {
        if (run.work.saves && now - run.startedAt >= saveMs) {
            std::stringstream text;
            text << std::hex << std::hash<std::string> {}(task) % 0xffffffU + (1ULL << 60U)
                 << (now - run.startedAt) / saveMs;
            run.saved = text.str().substr(0, 16);
        }
        if (clock() >= m_leaseEnd)
            over.emplace_back(task, "lapsed");
        else if (run.stopAt >= 0 && now >= run.stopAt)
            over.emplace_back(task, "stopped");
        else if (run.work.workMs >= 0 && now - run.startedAt >= run.work.workMs)
            over.emplace_back(task, run.work.failsOnce && run.attempt == 1 ? "failed" : "done");
    }
    for (const auto &[task, how] : over)
        end(task, how);
}

bool worker::fenced(const json::object &body)
{
    const auto fence = numberOf(body, "fence", 0);
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

void worker::grant(const json::object &body)
{
    const auto due = numberOf(body, "due_ms", 0);
    m_leaseEnd = std::max(m_leaseEnd, std::min(due, clock() + holdMaxMs));
}

json::object worker::lists() const
{
    json::array active;
    for (const auto &[task, run] : m_active) {
        const auto percent =
            run.work.workMs < 0
                ? 100
                : std::min<std::int64_t>(99, (nowMs() - run.startedAt) * 100 / run.work.workMs);
        active.push_back(json::array {task, run.attempt, run.saved, percent, 100});
    }
    json::array ended;
    for (const auto &run : m_ended) {
        if (ended.size() == endsListed)
            break;
        ended.push_back(json::array {run.number, run.task, run.attempt, run.how, run.saved});
    }
    return {{"time_ms", clock()},
            {"born", m_born},
            {"active", std::move(active)},
            {"ended", std::move(ended)}};
}

response worker::startRun(const json::object &body)
{
    const auto task = textOf(body, "task");
    const auto attempt = static_cast<int>(numberOf(body, "attempt", 0));
    const auto refuse = [this](const char *reason) {
        return reply(409, json::object {{"time_ms", clock()}, {"reason", reason}});
    };
    if (fenced(body))
        return refuse("fence");
    if (numberOf(body, "due_ms", 0) <= clock())
        return refuse("late");
    grant(body);
    if (const auto found = m_active.find(task); found != m_active.end())
        return found->second.attempt == attempt ? reply(200, json::object {{"time_ms", clock()}})
                                                : refuse("old");
    if (const auto over = m_over.find(task); over != m_over.end() && attempt <= over->second)
        return refuse("old");
    live_run run;
    run.attempt = attempt;
    run.startedAt = nowMs();
    run.work = m_work(task);
    run.saved = textOf(body, "saved");
    run.recordIndex = m_runs.size();
    const bool missing = !run.work.requires_.empty() && run.work.requires_ != m_kind.label;
    m_runs.push_back({task, attempt, m_id, nowMs(), -1, {}, missing});
    m_log.line("run " + task + " attempt " + std::to_string(attempt) + " starts on " + m_id
               + " fence " + std::to_string(m_fence)
               + (missing ? ", which lacks the label " + run.work.requires_ : std::string()));
    m_active.emplace(task, std::move(run));
    return reply(200, json::object {{"time_ms", clock()}, {"born", m_born}});
}

response worker::stopRun(const json::object &body)
{
    const auto task = textOf(body, "task");
    const auto attempt = static_cast<int>(numberOf(body, "attempt", 0));
    if (fenced(body))
        return reply(409, json::object {{"time_ms", clock()}, {"reason", "fence"}});
    const auto found = m_active.find(task);
    if (found != m_active.end() && found->second.attempt <= attempt) {
        if (found->second.stopAt < 0)
            found->second.stopAt = nowMs() + stopMs;
    } else if (found == m_active.end()) {
        m_over[task] = std::max(m_over[task], attempt);
    }
    return reply(200, json::object {{"time_ms", clock()}});
}

awaitable<response> worker::handle(request incoming)
{
    const auto boot = m_bootAt;
    const auto expected = incoming["Plantaingap-Expect-Instance"];
    if (!expected.empty() && expected != m_id)
        co_return reply(421, json::object {{"time_ms", clock()}});
    boost::system::error_code error;
    const auto parsed = json::parse(incoming.body(), error);
    if (error || !parsed.is_object())
        co_return reply(400, json::object {{"time_ms", clock()}});
    const auto &body = parsed.get_object();
    const auto path = pathOf(incoming.target());
    if (path == "/run-start")
        co_return startRun(body);
    if (path == "/run-stop")
        co_return stopRun(body);
    if (path != "/hold")
        co_return reply(404, json::object {{"time_ms", clock()}});
    if (fenced(body))
        co_return reply(409, json::object {{"time_ms", clock()}, {"reason", "fence"}});
    const auto seen = numberOf(body, "last_seen", 0);
    std::erase_if(m_ended, [&](const ended_run &run) {
        if (run.number > seen)
            return false;
        if (!run.lapsed && clock() < m_leaseEnd)
            m_runs[run.recordIndex].notedAt = nowMs();
        return true;
    });
    grant(body);
    const auto until = nowMs() + numberOf(body, "wait_ms", 0);
    while (m_ended.empty() && nowMs() < until && m_up && m_bootAt == boot)
        co_await pause(5);
    co_return reply(200, lists());
}

// World.

world::world(const std::string &recordFile)
    : log(recordFile)
    , table(context, log)
{
    const auto *off = std::getenv("TROUBLE");
    trouble = !off || std::string(off) != "0";
    setInstances(3);
}

void world::setInstances(int count)
{
    m_instances.resize(static_cast<std::size_t>(count));
    for (auto &one : m_instances)
        one.link = std::make_shared<path>();
}

world::~world()
{
    for (auto &one : m_instances) {
        if (one.pid <= 0)
            continue;
        ::kill(one.pid, SIGCONT);
        ::kill(one.pid, SIGKILL);
        ::waitpid(one.pid, nullptr, 0);
    }
}

void world::addWorkers(int count, worker_kind kind)
{
    for (int i = 0; i < count; ++i) {
        const auto number = static_cast<int>(workers.size()) + 1;
        workers.push_back(std::make_unique<worker>(
            context, log, table, "i-" + std::to_string(1000 + number),
            "r1-" + std::to_string(number / 8), kind, instances(),
            [this](const std::string &task) {
                // The longest prefix that fits, as in "ID.0.1" for all tasks of a step.
                task_work found;
                std::size_t longest = 0;
                for (const auto &[prefixOfTask, work] : works) {
                    if (prefixOfTask.size() <= longest || !task.starts_with(prefixOfTask))
                        continue;
                    longest = prefixOfTask.size();
                    found = work;
                }
                return found;
            },
            runs));
    }
}

worker *world::find(const std::string &id)
{
    for (auto &one : workers) {
        if (one->id() == id)
            return one.get();
    }
    return nullptr;
}

void world::startInstances(const std::string &folder)
{
    int number = 0;
    for (auto &one : m_instances) {
        one.front = freePort();
        one.ready = freePort();
        one.peer = freePort();
        one.storePort =
            table.listenFor(number, one.link, [this](const std::string &id, int instance) {
                auto *server = find(id);
                return server ? server->addressFor(instance) : std::string();
            });
        one.settings = folder + "/settings-" + std::to_string(number) + ".json";
        one.logFile = folder + "/instance-" + std::to_string(number) + ".log";
        const auto address = [](std::uint16_t port) {
            return ownAddress().to_string() + ":" + std::to_string(port);
        };
        std::ofstream(one.settings)
            << json::serialize(json::object {{"instance", "edge-" + std::to_string(number + 1)},
                                             {"region", "region-a"},
                                             {"data_centre", "z-a"},
                                             {"caller_listen", address(one.front)},
                                             {"ready_listen", address(one.ready)},
                                             {"peer_listen", address(one.peer)},
                                             {"store", address(one.storePort)},
                                             {"cores", 0.25},
                                             {"link_mbps", 1000},
                                             {"longest_lease", "10000ms"},
                                             {"longest_stop", "200ms"},
                                             {"stop_grace", "6s"}});
        spawn(one);
        ++number;
    }
}

void world::spawn(instance &one)
{
    one.pid = ::fork();
    if (one.pid != 0)
        return;
    // Ends with this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(one.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (int descriptor = 3; descriptor < 16'384; ++descriptor)
        ::close(descriptor);
    ::execl("target/plantaingap-cell", "plantaingap-cell", one.settings.c_str(), nullptr);
    ::_exit(127);
}

void world::signalInstance(int number, int signal)
{
    auto &one = m_instances.at(static_cast<std::size_t>(number));
    log.line("instance edge-" + std::to_string(number + 1) + " gets signal "
             + std::to_string(signal));
    ::kill(one.pid, signal);
}

void world::setStoreAway(bool away)
{
    for (auto &one : m_instances)
        one.link->cut = away;
}

int world::leader() const
{
    const auto row = table.get("cell", "", "leader");
    for (int i = 0; i < instances(); ++i) {
        if (row.find("\"edge-" + std::to_string(i + 1) + "\"") != std::string::npos)
            return i;
    }
    return -1;
}

awaitable<void> world::sleep(std::int64_t milliseconds)
{
    co_await pause(milliseconds);
}

awaitable<void> world::ticker()
{
    while (true) {
        for (auto &one : workers)
            one->tick();
        // A process that has ended is started again after a short delay.
        for (auto &one : m_instances) {
            if (one.pid > 0 && ::waitpid(one.pid, nullptr, WNOHANG) == one.pid) {
                one.pid = -1;
                one.startAt = nowMs() + 500;
            } else if (one.pid < 0 && one.startAt > 0 && nowMs() >= one.startAt) {
                one.startAt = 0;
                log.line("an instance is started again");
                spawn(one);
            }
        }
        co_await pause(10);
    }
}

namespace {

awaitable<answer> callPort(asio::io_context &context, std::uint16_t port, std::string method,
                           std::string target, std::string body, std::int64_t timeoutMs)
{
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::milliseconds(timeoutMs));
    const auto [connectError] =
        co_await stream.async_connect(tcp::endpoint(ownAddress(), port), asTuple);
    if (connectError)
        co_return answer {};
    request outgoing;
    outgoing.method_string(method);
    outgoing.target(target);
    outgoing.version(11);
    outgoing.set(http::field::host, "cell.example");
    outgoing.set(http::field::content_type, "application/json");
    outgoing.set("Plantaingap-Deadline-Ms", std::to_string(timeoutMs));
    outgoing.body() = std::move(body);
    outgoing.prepare_payload();
    const auto [writeError, written] = co_await http::async_write(stream, outgoing, asTuple);
    if (writeError)
        co_return answer {};
    beast::flat_buffer buffer;
    response incoming;
    const auto [readError, read] = co_await http::async_read(stream, buffer, incoming, asTuple);
    if (readError)
        co_return answer {};
    co_return answer {static_cast<int>(incoming.result_int()), incoming.body()};
}

} // namespace

awaitable<bool> world::awaitReady(std::int64_t milliseconds)
{
    const auto until = nowMs() + milliseconds;
    while (nowMs() < until) {
        bool ready = true;
        for (const auto &one : m_instances) {
            const auto got = co_await callPort(context, one.ready, "GET", "/ready", {}, 500);
            ready = ready && got.status == 200;
        }
        if (ready)
            co_return true;
        co_await pause(200);
    }
    co_return false;
}

awaitable<answer> world::call(int number, std::string method, std::string target, std::string body,
                              std::int64_t timeoutMs)
{
    const auto port = m_instances.at(static_cast<std::size_t>(number)).front;
    const auto label = method + " " + target + " at edge-" + std::to_string(number + 1);
    const auto sentAt = nowMs();
    auto got = co_await callPort(context, port, std::move(method), std::move(target),
                                 std::move(body), timeoutMs);
    log.line("client " + label + " sent at " + std::to_string(sentAt) + ": "
             + (got.status == 0 ? std::string("no answer")
                                : std::to_string(got.status) + " " + got.body));
    co_return got;
}

awaitable<answer> world::submit(std::string id, std::string body, int tries)
{
    answer got;
    for (int i = 0; i < tries; ++i) {
        got = co_await call(m_nextFront++ % instances(), "POST", prefix + id, body);
        if (got.status == 200 || got.status == 400 || got.status == 404)
            break;
        co_await pause(1000);
    }
    co_return got;
}

awaitable<answer> world::state(std::string id, int tries)
{
    answer got;
    for (int i = 0; i < tries; ++i) {
        got = co_await call(m_nextFront++ % instances(), "GET", prefix + id, {});
        if (got.status == 200 || got.status == 410 || got.status == 404)
            break;
        co_await pause(300);
    }
    co_return got;
}

std::string configuration(int version,
                          const std::vector<std::pair<std::string, std::string>> &queues)
{
    json::array routes;
    for (const auto &[name, prefix] : queues) {
        routes.push_back(json::object {{"name", name},
                                       {"host", "cell.example"},
                                       {"prefix", prefix},
                                       {"type", "non_idempotent"},
                                       {"timeout_ms", 3000},
                                       {"slo_ms", 3000},
                                       {"priority", 1},
                                       {"service", "planner"},
                                       {"attempts", 3},
                                       {"stretch", 4.0}});
    }
    return json::serialize(
        json::object {{"version", version},
                      {"routes", std::move(routes)},
                      {"services", json::array {json::object {{"name", "planner"},
                                                              {"health_path", "/health"},
                                                              {"max_conns", 64},
                                                              {"protocol", "h1"},
                                                              {"tls", false},
                                                              {"rejects_misfits", false},
                                                              {"spare", false}}}},
                      {"limits", json::object {{"header_bytes", 16384},
                                               {"body_bytes", 262144},
                                               {"header_timeout_ms", 3000},
                                               {"idle_timeout_ms", 15000}}}});
}

} // namespace review
