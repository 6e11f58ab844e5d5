#include "deployment.h"

#include "stand_ins.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::int64_t clientTimeoutMs = 3000;
constexpr std::int64_t joinTimeoutMs = 20'000;

std::string ownProgram()
{
    std::string path(4096, '\0');
    path.resize(static_cast<std::size_t>(readlink("/proc/self/exe", path.data(), path.size())));
    return path;
}

} // namespace

deployment::deployment(const std::vector<std::string> &arguments)
    : m_program(arguments.at(0))
    , m_self(ownProgram())
    , m_folder(arguments.at(1))
    , m_record(arguments.at(2))
    , m_store(freePort())
{
    m_children.start({m_self, "store", std::to_string(m_store), m_record}, m_folder + "/store.log");
    waitFor(2000, [this] { return call(m_store, "GET", "/", {}, 200).has_value(); });
}

void deployment::startWorker(worker made)
{
    if (made.port == 0)
        made.port = freePort();
    made.process = m_children.start(
        {m_self, "worker", std::to_string(made.port), made.id, made.kind, made.rack,
         std::to_string(made.cpu), std::to_string(made.memory), std::to_string(made.firstReportMs),
         std::to_string(m_store), m_record, std::to_string(made.roundTripMs)},
        m_folder + "/" + made.id + ".log");
    m_workers[made.id] = made;
}

void deployment::crashWorker(const std::string &id)
{
    record("worker " + id + " is killed");
    m_children.kill(m_workers.at(id).process);
}

void deployment::restartWorker(const std::string &id, const std::string &kind,
                               std::int64_t firstReportMs)
{
    auto again = m_workers.at(id);
    again.kind = kind;
    again.firstReportMs = firstReportMs;
    startWorker(again);
}

std::size_t deployment::startInstance()
{
    const auto name = "edge-" + std::to_string(m_instances.size() + 1);
    m_callers.push_back(freePort());
    m_ready.push_back(freePort());
    // As deploy/instance.json.in fills in the users' settings.
    const json::object settings {{"instance", name},
                                 {"region", "region-a"},
                                 {"data_centre", "zone-a"},
                                 {"caller_listen", "127.0.0.1:" + std::to_string(m_callers.back())},
                                 {"ready_listen", "127.0.0.1:" + std::to_string(m_ready.back())},
                                 {"peer_listen", "127.0.0.1:" + std::to_string(freePort())},
                                 {"store", "127.0.0.1:" + std::to_string(m_store)},
                                 {"cores", 0.25},
                                 {"link_mbps", 1000.0},
                                 {"longest_lease", "10000ms"},
                                 {"longest_stop", "200ms"},
                                 {"stop_grace", "6s"}};
    const auto file = m_folder + "/" + name + ".json";
    std::ofstream(file) << json::serialize(settings);
    m_instances.push_back(m_children.start({m_program, file}, m_folder + "/" + name + ".log",
                                           {{"PLANTAINGAP_SETTINGS", file}}));
    record(name + " starts");
    return m_instances.size() - 1;
}

void deployment::freezeInstance(std::size_t instance)
{
    record("edge-" + std::to_string(instance + 1) + " is lost");
    m_frozen.insert(instance);
    m_children.signal(m_instances.at(instance), SIGSTOP);
}

std::optional<std::size_t> deployment::leader() const
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (m_frozen.contains(i))
            continue;
        const auto metrics = call(m_ready.at(i), "GET", "/metrics", {}, 500);
        if (metrics && metrics->body.find("plantaingap_leads 1\n") != std::string::npos)
            return i;
    }
    return std::nullopt;
}

bool deployment::startCell(int attempts)
{
    const json::object route {{"name", "queue-1"},    {"host", "queue.example"},
                              {"prefix", "/queue/"},  {"type", "non_idempotent"},
                              {"timeout_ms", 3000},   {"slo_ms", 3000},
                              {"priority", 1},        {"service", "search"},
                              {"attempts", attempts}, {"stretch", 4.0}};
    const json::object service {
        {"name", "search"}, {"health_path", "/health"}, {"max_conns", 64}, {"protocol", "h1"},
        {"tls", false},     {"rejects_misfits", false}, {"spare", false}};
    const json::object limits {{"header_bytes", 16384},
                               {"body_bytes", 262144},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 15000}};
    if (!putRow(m_store, "op", "config",
                json::object {{"version", 7},
                              {"routes", json::array {route}},
                              {"services", json::array {service}},
                              {"limits", limits}}))
        return false;
    for (std::size_t i = 0; i < instances; ++i)
        startInstance();
    const auto ready = [this] {
        return std::ranges::all_of(m_ready, [](std::uint16_t port) {
            const auto answered = call(port, "GET", "/ready", {}, 500);
            return answered && answered->status == 200;
        });
    };
    return waitFor(joinTimeoutMs, ready);
}

std::optional<answer> deployment::send(std::string_view method, const std::string &id,
                                       const std::string &body, std::size_t instance)
{
    const auto answered = call(
        m_callers.at(instance), method, "/queue/" + id, body, clientTimeoutMs,
        {{"Host", "queue.example"}, {"Plantaingap-Deadline-Ms", std::to_string(clientTimeoutMs)}});
    record("client: " + std::string(method) + " " + id + " at edge-" + std::to_string(instance + 1)
           + " -> "
           + (answered ? std::to_string(answered->status) + " " + answered->body : "no answer"));
    return answered;
}

unsigned deployment::submit(const std::string &id, const json::array &steps,
                            const std::string &spec, std::size_t instance)
{
    const auto answered = send(
        "POST", id, json::serialize(json::object {{"spec", spec}, {"steps", steps}}), instance);
    return answered ? answered->status : 0;
}

unsigned deployment::cancel(const std::string &id, std::size_t instance)
{
    const auto answered = send("DELETE", id, {}, instance);
    return answered ? answered->status : 0;
}

std::string deployment::state(const std::string &id, std::size_t instance)
{
    const auto answered = send("GET", id, {}, instance);
    if (!answered)
        return {};
    if (answered->status != 200)
        return std::to_string(answered->status);
    return std::string(json::parse(answered->body).at("state").as_string());
}

std::vector<std::string> deployment::recorded(const std::string &text) const
{
    std::vector<std::string> found;
    std::ifstream file(m_record);
    for (std::string line; std::getline(file, line);) {
        if (line.find(text) != std::string::npos)
            found.push_back(line);
    }
    return found;
}

bool waitFor(std::int64_t timeMs, const std::function<bool()> &condition)
{
    const auto until = steadyMs() + timeMs;
    while (!condition()) {
        if (steadyMs() >= until)
            return false;
        sleepMs(50);
    }
    return true;
}

std::string jobId(std::uint64_t number)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  0xa0b1c2d300000000ULL + static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace review
