#include "stand_ins.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>

// One life of a worker, as the users' PROTOCOL.md describes it ("Running tasks"). Its arguments:
// PORT ID KIND RACK CPU MEM_MB FIRST_REPORT_MS STORE_PORT RECORD ROUND_TRIP_MS. The `spec` of a job
// is the time that each of its tasks takes, in milliseconds, and " saves" if the tasks checkpoint,
// " fails" if they end as failed, or " lasts" for tasks that last.
namespace review {

namespace json = boost::json;

namespace {

constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t holdMaxMs = 10'000;
constexpr std::int64_t stopMs = 100;
constexpr std::int64_t saveMs = 500;
// Until a task that lasts is at work.
constexpr std::int64_t startupMs = 300;
constexpr std::size_t maxEndsListed = 500;
// Channels at a time.
constexpr int maxChannels = 64;
constexpr std::int64_t tickMs = 20;

struct run
{
    std::int64_t attempt = 0;
    std::int64_t startedAt = 0;
    std::int64_t duration = 0;
    bool saves = false;
    bool fails = false;
    bool lasts = false;
    std::string saved;
    std::int64_t savedAt = 0;
    std::int64_t stopAt = 0;
};

struct run_end
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t attempt = 0;
    std::string how;
    std::string saved;
};

class worker
{
public:
    explicit worker(const std::vector<std::string> &arguments)
        : m_port(arguments.at(0))
        , m_id(arguments.at(1))
        , m_kind(arguments.at(2))
        , m_rack(arguments.at(3))
        , m_cpu(std::stoll(arguments.at(4)))
        , m_memory(std::stoll(arguments.at(5)))
        , m_firstReportMs(std::stoll(arguments.at(6)))
        , m_storePort(static_cast<std::uint16_t>(std::stoi(arguments.at(7))))
        , m_roundTripMs(std::stoll(arguments.at(9)))
        , m_born(wallMs())
        , m_startedAt(steadyMs())
    {
        log("starts, kind " + m_kind);
    }

    response handle(request &received)
    {
        sleepMs(m_roundTripMs);
        const auto path = pathOf(received.target());
        if (path == "/health")
            return reply(200);
        if (received["Plantaingap-Expect-Instance"] != m_id)
            return reply(421);
        boost::system::error_code error;
        const auto parsed = json::parse(received.body(), error);
        if (error || !parsed.is_object())
            return reply(400);
        const auto &body = parsed.get_object();
        std::unique_lock lock(m_mutex);
        advance();
        const auto fence = number(body, "fence");
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (path == "/run-start")
            return start(body);
        if (path == "/run-stop")
            return stop(body);
        if (path == "/hold")
            return hold(body, lock);
        return reply(404);
    }

    void registerPeriodically()
    {
        sleepMs(m_firstReportMs);
        for (std::int64_t sequence = 1;; ++sequence) {
            const json::object entry {
                {"service", "search"},
                {"address", "127.0.0.1:" + m_port},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_ms", 0},
                {"capacity", json::object {{"cpu", m_cpu}, {"mem_mb", m_memory}, {"gpus", 0}}},
                {"labels", json::array {m_kind, m_rack}},
                {"time_ms", clockMs()},
                {"born", m_born},
                {"seq", sequence}};
            putRow(m_storePort, "servers", m_id, entry);
            if (sequence == 1)
                log("is registered, kind " + m_kind);
            sleepMs(heartbeatMs);
        }
    }

    void tick()
    {
        while (true) {
            sleepMs(tickMs);
            const std::scoped_lock lock(m_mutex);
            advance();
        }
    }

private:
    static std::int64_t number(const json::object &body, std::string_view name)
    {
        const auto *found = body.if_contains(name);
        return found && found->is_number() ? found->to_number<std::int64_t>() : 0;
    }

    static std::string textOf(const json::object &body, std::string_view name)
    {
        const auto *found = body.if_contains(name);
        return found && found->is_string() ? std::string(found->get_string()) : std::string();
    }

    void log(const std::string &text) const { record("worker " + m_id + " " + text); }

    std::int64_t clockMs() const { return 1000 + steadyMs() - m_startedAt; }

    response refuse(const std::string &reason) const
    {
        return reply(409,
                     json::object {{"time_ms", clockMs()}, {"born", m_born}, {"reason", reason}});
    }

    response accept() const
    {
        return reply(200, json::object {{"time_ms", clockMs()}, {"born", m_born}});
    }

    void extendLease(std::int64_t due)
    {
        m_due = std::max(m_due, std::min(due, clockMs() + holdMaxMs));
    }

    void end(const std::string &task, const std::string &how)
    {
        const auto &ended = m_active.at(task);
        m_ends.push_back({++m_lastEnd, task, ended.attempt, how, ended.saved});
        m_highestEnded[task] = std::max(m_highestEnded[task], ended.attempt);
        log("ends " + task + " run " + std::to_string(ended.attempt) + " " + how);
        m_active.erase(task);
        m_changed.notify_all();
    }

    // Of a task that lasts 100 once it is at work.
    static std::int64_t percentOf(const run &running)
    {
        const auto passed = steadyMs() - running.startedAt;
        if (running.lasts)
            return passed < startupMs ? 0 : 100;
        return std::min<std::int64_t>(passed * 100 / running.duration, 99);
    }

    // The time worked so far, in eight hexadecimal digits, and eight that name the task.
    void save(const std::string &task, run &saving)
    {
        if (!saving.saves || steadyMs() - saving.savedAt < saveMs)
            return;
        saving.savedAt = steadyMs();
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%08x%08x",
                      static_cast<unsigned>(saving.savedAt - saving.startedAt),
                      static_cast<unsigned>(std::hash<std::string> {}(task)));
        saving.saved = text.data();
    }

    void advance()
    {
        std::vector<std::pair<std::string, std::string>> over;
        const bool lapsed = clockMs() > m_due;
        for (auto &[task, running] : m_active) {
            save(task, running);
            if (lapsed)
                over.emplace_back(task, "lapsed");
            else if (steadyMs() - running.startedAt >= running.duration)
                over.emplace_back(task, running.fails ? "failed" : "done");
            else if (running.stopAt > 0 && steadyMs() >= running.stopAt)
                over.emplace_back(task, "stopped");
        }
        for (const auto &[task, how] : over)
            end(task, how);
    }

    response start(const json::object &body)
    {
        const auto task = textOf(body, "task");
        const auto attempt = number(body, "attempt");
        const auto active = m_active.find(task);
        if (active != m_active.end() && active->second.attempt == attempt)
            return accept();
        if (number(body, "due_ms") <= clockMs())
            return refuse("late");
        extendLease(number(body, "due_ms"));
        const auto ended = m_highestEnded.find(task);
        if (active != m_active.end() || (ended != m_highestEnded.end() && attempt <= ended->second))
            return refuse("old");
        run started;
        started.attempt = attempt;
        started.saved = textOf(body, "saved");
        started.startedAt = steadyMs();
        started.savedAt = started.startedAt;
        // A run resumes from its checkpoint.
        if (started.saved.size() == 16)
            started.startedAt -= std::stoll(started.saved.substr(0, 8), nullptr, 16);
        const auto spec = textOf(body, "spec");
        started.duration = std::stoll(spec);
        started.saves = spec.ends_with(" saves");
        started.fails = spec.ends_with(" fails");
        started.lasts = spec.ends_with(" lasts");
        m_active[task] = started;
        log("starts " + task + " run " + std::to_string(attempt) + ", kind " + m_kind);
        return accept();
    }

    response stop(const json::object &body)
    {
        const auto task = textOf(body, "task");
        const auto attempt = number(body, "attempt");
        const auto active = m_active.find(task);
        if (active == m_active.end() || active->second.attempt != attempt) {
            m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
            return accept();
        }
        if (active->second.stopAt == 0) {
            active->second.stopAt = steadyMs() + stopMs;
            log("is told to stop " + task + " run " + std::to_string(attempt));
        }
        return accept();
    }

    response hold(const json::object &body, std::unique_lock<std::mutex> &lock)
    {
        if (body.contains("due_ms"))
            extendLease(number(body, "due_ms"));
        const auto seen = number(body, "last_seen");
        std::erase_if(m_ends, [seen](const run_end &each) { return each.number <= seen; });
        const auto fence = m_fence;
        m_changed.wait_for(lock, std::chrono::milliseconds(number(body, "wait_ms")),
                           [this] { return !m_ends.empty(); });
        if (fence < m_fence)
            return refuse("fence");
        json::array active;
        for (const auto &[task, running] : m_active)
            active.push_back(
                json::array {task, running.attempt, running.saved, percentOf(running), 100});
        json::array ended;
        for (const auto &each : m_ends) {
            if (ended.size() < maxEndsListed)
                ended.push_back(
                    json::array {each.number, each.task, each.attempt, each.how, each.saved});
        }
        return reply(200, json::object {{"time_ms", clockMs()},
                                        {"born", m_born},
                                        {"active", std::move(active)},
                                        {"ended", std::move(ended)}});
    }

    std::string m_port;
    std::string m_id;
    std::string m_kind;
    std::string m_rack;
    std::int64_t m_cpu;
    std::int64_t m_memory;
    std::int64_t m_firstReportMs;
    std::uint16_t m_storePort;
    // Of each call, as between regions.
    std::int64_t m_roundTripMs;
    std::int64_t m_born;
    std::int64_t m_startedAt;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    // End of the lease on this worker's clock.
    std::int64_t m_due = 0;
    std::map<std::string, run> m_active;
    std::map<std::string, std::int64_t> m_highestEnded;
    std::vector<run_end> m_ends;
    std::int64_t m_lastEnd = 0;
};

} // namespace

int runWorker(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(8));
    worker life(arguments);
    std::thread([&life] { life.registerPeriodically(); }).detach();
    std::thread([&life] { life.tick(); }).detach();
    serve(
        static_cast<std::uint16_t>(std::stoi(arguments.at(0))),
        [&life](request &received) { return life.handle(received); }, maxChannels);
    return 0;
}

} // namespace review
