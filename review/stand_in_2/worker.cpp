#include "worker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds heartbeat {1500};
constexpr milliseconds tick {10};
constexpr long holdMax = 10'000;
constexpr long waitMax = 2'000;
constexpr std::size_t endsListed = 500;
// A new value of a checkpoint comes with each of these spans of work.
constexpr milliseconds saveInterval {500};

long unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string hex(std::size_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out(16, '0');
    for (std::size_t i = 16; i-- > 0; number >>= 4)
        out[i] = digits[number & 15];
    return out;
}

} // namespace

worker::worker(asio::io_context &context, store &rows, record &log, worker_options options,
               plan_of_run plan)
    : m_context(context)
    , m_store(rows)
    , m_log(log)
    , m_options(std::move(options))
    , m_plan(std::move(plan))
    , m_server(context, [this](request asked) -> asio::awaitable<response> {
        co_return co_await handle(std::move(asked));
    })
{ }

void worker::start()
{
    m_server.listen(m_port);
    m_port = m_server.port();
    m_up = true;
    ++m_life;
    m_born = unixMs();
    m_bootAt = steady_clock::now();
    m_fence = 0;
    m_due = 0;
    m_runs.clear();
    m_past.clear();
    m_ends.clear();
    m_lastEnd = 0;
    publish();
    asio::co_spawn(m_context, live(m_life), asio::detached);
    asio::co_spawn(m_context, beat(m_life), asio::detached);
}

void worker::crash(milliseconds down)
{
    std::string gone;
    for (const auto &[task, one] : m_runs)
        gone += " " + task + "#" + std::to_string(one.attempt);
    m_log.write("crash of worker " + m_options.id + ", down for " + std::to_string(down.count())
                + " ms; gone with it:" + gone);
    m_up = false;
    ++m_life;
    m_runs.clear();
    m_server.die();
    asio::co_spawn(m_context, comeBack(down), asio::detached);
}

asio::awaitable<void> worker::comeBack(milliseconds down)
{
    co_await sleepFor(m_context, down);
    m_store.drop("servers", m_options.id);
    m_options.id += "n";
    start();
}

void worker::publish()
{
    json::object entry {
        {"service", m_options.service},
        {"address", "127.0.0.1:" + std::to_string(m_port)},
        {"zone", m_options.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_ms", 0},
        {"seq", ++m_sequence},
        {"born", m_born},
        {"capacity", json::object {{"cpu", m_options.cpu}, {"mem_mb", m_options.memory}}},
        {"labels", json::array(m_options.labels.begin(), m_options.labels.end())}};
    m_store.put("servers", m_options.id, json::serialize(entry));
}

asio::awaitable<void> worker::beat(unsigned life)
{
    while (m_life == life) {
        co_await sleepFor(m_context, heartbeat);
        if (m_life == life)
            publish();
    }
}

long worker::clock() const
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_bootAt).count();
}

std::vector<std::string> worker::tasks() const
{
    std::vector<std::string> names;
    for (const auto &[task, one] : m_runs)
        names.push_back(task);
    return names;
}

// Ends runs whose time has come, or all when the lease has expired.
asio::awaitable<void> worker::live(unsigned life)
{
    while (m_life == life) {
        co_await sleepFor(m_context, tick);
        if (m_life != life)
            co_return;
        const auto now = steady_clock::now();
        const bool lapsed = !m_runs.empty() && clock() >= m_due;
        for (const auto &task : tasks()) {
            auto &one = m_runs.at(task);
            const auto worked = now - one.startedAt;
            one.saved =
                worked < saveInterval
                    ? one.saved
                    : hex(std::hash<std::string> {}(task + std::to_string(worked / saveInterval)));
            if (lapsed)
                endRun(task, "lapsed");
            else if (one.does.endsAfter && worked >= *one.does.endsAfter)
                endRun(task, one.does.how);
        }
    }
}

void worker::endRun(const std::string &task, const std::string &how)
{
    const auto found = m_runs.find(task);
    const auto &one = found->second;
    m_log.write("end " + task + " run " + std::to_string(one.attempt) + " on " + m_options.id + ": "
                + how);
    m_past[task] = std::max(m_past[task], one.attempt);
    m_ends.push_back({++m_lastEnd, task, one.attempt, how, one.saved});
    m_runs.erase(found);
}

std::string worker::head() const
{
    return "{\"time_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(m_born);
}

response worker::conflict(const std::string &reason) const
{
    return jsonAnswer(409, head() + ",\"reason\":\"" + reason + "\"}");
}

asio::awaitable<response> worker::handle(request asked)
{
    const std::string target(asked.target());
    const std::string expected(asked["Plantaingap-Expect-Instance"]);
    if (!expected.empty() && expected != m_options.id)
        co_return jsonAnswer(421, "{}");
    if (target == "/health")
        co_return jsonAnswer(200, "{}");
    if (target == "/run-start")
        co_return startRun(asked.body());
    if (target == "/run-stop")
        co_return stopRun(asked.body());
    if (target == "/hold")
        co_return co_await hold(std::move(asked.body()));
    co_return jsonAnswer(404, "{}");
}

bool worker::fenced(const json::object &order)
{
    const auto *given = order.if_contains("fence");
    const auto fence = given ? given->to_number<std::uint64_t>() : 0;
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

void worker::extend(const json::object &order)
{
    if (const auto *due = order.if_contains("due_ms"))
        m_due = std::max(m_due, std::min(due->to_number<long>(), clock() + holdMax));
}

response worker::startRun(const std::string &body)
{
    const auto value = json::parse(body);
    const auto &order = value.as_object();
    const std::string task(order.at("task").as_string());
    const auto attempt = order.at("attempt").to_number<unsigned>();
    if (fenced(order))
        return conflict("fence");
    if (order.at("due_ms").to_number<long>() <= clock())
        return conflict("late");
    extend(order);
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.attempt == attempt)
        return jsonAnswer(200, head() + "}");
    const auto past = m_past.find(task);
    if (running != m_runs.end() || (past != m_past.end() && attempt <= past->second))
        return conflict("old");
    run one {attempt, steady_clock::now(), m_plan(task, attempt), {}};
    if (const auto *saved = order.if_contains("saved"))
        one.saved = saved->as_string().c_str();
    m_runs[task] = std::move(one);
    m_log.write("start " + task + " run " + std::to_string(attempt) + " on " + m_options.id);
    return jsonAnswer(200, head() + "}");
}

response worker::stopRun(const std::string &body)
{
    const auto value = json::parse(body);
    const auto &order = value.as_object();
    const std::string task(order.at("task").as_string());
    const auto attempt = order.at("attempt").to_number<unsigned>();
    if (fenced(order))
        return conflict("fence");
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.attempt == attempt)
        endRun(task, "stopped");
    m_past[task] = std::max(m_past[task], attempt);
    return jsonAnswer(200, head() + "}");
}

int worker::percentOf(const run &one) const
{
    if (!one.does.endsAfter)
        return 100;
    const auto worked = steady_clock::now() - one.startedAt;
    return static_cast<int>(std::min<long>(99, worked * 100 / *one.does.endsAfter));
}

std::string worker::report() const
{
    json::array active;
    for (const auto &[task, one] : m_runs)
        active.push_back(json::array {task, one.attempt, one.saved, percentOf(one), 0});
    json::array ended;
    for (const auto &one : m_ends) {
        if (ended.size() < endsListed)
            ended.push_back(json::array {one.number, one.task, one.attempt, one.how, one.saved});
    }
    return head() + ",\"active\":" + json::serialize(active)
           + ",\"ended\":" + json::serialize(ended) + "}";
}

asio::awaitable<response> worker::hold(std::string body)
{
    const auto value = json::parse(body);
    const auto &order = value.as_object();
    if (fenced(order))
        co_return conflict("fence");
    extend(order);
    const auto seen = order.at("last_seen").to_number<std::uint64_t>();
    std::erase_if(m_ends, [seen](const end &one) { return one.number <= seen; });
    const auto *given = order.if_contains("wait_ms");
    const auto wait = std::min(given ? given->to_number<long>() : 0, waitMax);
    const auto until = steady_clock::now() + milliseconds(wait);
    const auto life = m_life;
    while (m_life == life && m_ends.empty() && steady_clock::now() < until)
        co_await sleepFor(m_context, tick);
    co_return jsonAnswer(200, report());
}

} // namespace review
