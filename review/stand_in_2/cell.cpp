#include "cell.h"

#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view program = "target/plantaingap-cell";
constexpr milliseconds startPatience {20'000};
constexpr std::size_t workersPerRack = 8;
constexpr int firstPort = 15'000;
constexpr int lastPort = 32'000;
constexpr int portsPerProcess = 16;
constexpr std::string_view host = "review.example";

// Below the ports that the system gives to connections, and from a part of its own for each
// process, so that nothing takes one meanwhile.
std::uint16_t freePort(asio::io_context &context)
{
    static int next = getpid() * portsPerProcess % (lastPort - firstPort);
    while (true) {
        next = (next + 1) % (lastPort - firstPort);
        const auto port = static_cast<std::uint16_t>(firstPort + next);
        tcp::acceptor probe(context);
        boost::system::error_code error;
        probe.open(tcp::v4());
        probe.bind({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error)
            return port;
    }
}

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15U));
    return text;
}

cell::cell(asio::io_context &context, record &log, deployment wanted, plan_of_run plan)
    : m_context(context)
    , m_log(log)
    , m_wanted(std::move(wanted))
    , m_store(context, log)
{
    char folder[] = "review-XXXXXX";
    m_folder = std::filesystem::temp_directory_path() / folder;
    auto text = m_folder.string();
    if (mkdtemp(text.data()) == nullptr)
        std::exit(2);
    m_folder = text;
    m_store.listen();
    for (std::size_t i = 0; i < m_wanted.workers; ++i) {
        worker_options options;
        options.id = "w" + std::to_string(i);
        options.service = "service";
        options.zone = "zone-a";
        options.labels = {"a", "r1-" + std::to_string(i / workersPerRack)};
        m_workers.push_back(std::make_unique<worker>(context, m_store, log, options, plan));
    }
    for (std::size_t i = 0; i < m_wanted.instances; ++i) {
        m_instances.push_back({"edge-" + std::to_string(i), freePort(context), freePort(context),
                               freePort(context), -1});
    }
}

cell::~cell()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        kill(i);
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
}

void cell::writeConfiguration()
{
    json::array routes;
    for (const auto &one : m_wanted.queues) {
        routes.push_back(json::object {{"name", one.name},
                                       {"host", host},
                                       {"prefix", "/" + one.name + "/"},
                                       {"service", "service"},
                                       {"type", "non_idempotent"},
                                       {"timeout_ms", 3000},
                                       {"slo_ms", one.sloMs},
                                       {"attempts", one.attempts},
                                       {"priority", one.priority},
                                       {"stretch", one.stretch}});
    }
    const json::object config {
        {"version", 3},
        {"routes", std::move(routes)},
        {"services", json::array {json::object {{"name", "service"},
                                                {"health_path", "/health"},
                                                {"max_conns", 64},
                                                {"rejects_misfits", false}}}},
        {"limits", json::object {{"header_bytes", 16384}, {"body_bytes", 262144}}}};
    m_store.put("op", "config", json::serialize(config));
}

// As deploy/instance.json.in.
void cell::writeSettings(const instance &one) const
{
    const json::object settings {{"instance", one.name},
                                 {"region", "region"},
                                 {"data_centre", "zone-a"},
                                 {"caller_listen", local(one.front)},
                                 {"ready_listen", local(one.ready)},
                                 {"peer_listen", local(one.peers)},
                                 {"store", local(m_store.port())},
                                 {"cores", 0.25},
                                 {"link_mbps", 1000.0},
                                 {"longest_lease", "10000ms"},
                                 {"longest_stop", "200ms"},
                                 {"stop_grace", "6s"}};
    std::ofstream(m_folder / (one.name + ".json")) << json::serialize(settings);
}

void cell::startInstance(std::size_t index)
{
    auto &one = m_instances[index];
    writeSettings(one);
    const auto settings = (m_folder / (one.name + ".json")).string();
    const auto output = (m_folder / (one.name + ".log")).string();
    const auto parent = getpid();
    one.process = fork();
    if (one.process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(2);
        const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        for (int other = 3; other < 4096; ++other)
            close(other);
        execl(program.data(), program.data(), settings.c_str(), nullptr);
        _exit(2);
    }
    m_log.write("process " + one.name + " started");
}

void cell::signal(std::size_t index, int number)
{
    m_log.write("signal " + std::to_string(number) + " to " + m_instances[index].name);
    ::kill(m_instances[index].process, number);
}

void cell::kill(std::size_t index)
{
    auto &one = m_instances[index];
    if (one.process <= 0)
        return;
    ::kill(one.process, SIGKILL);
    waitpid(one.process, nullptr, 0);
    one.process = -1;
}

bool cell::alive(std::size_t index) const
{
    const auto process = m_instances[index].process;
    return process > 0 && waitpid(process, nullptr, WNOHANG) == 0;
}

asio::awaitable<bool> cell::start()
{
    writeConfiguration();
    for (auto &one : m_workers)
        one->start();
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        startInstance(i);
    const auto until = steady_clock::now() + startPatience;
    while (steady_clock::now() < until) {
        std::size_t ready = 0;
        for (const auto &one : m_instances) {
            const auto got = co_await call(m_context, one.ready, "GET", "/ready", "ready", {},
                                           milliseconds(500));
            ready += got && got->status == 200 ? 1 : 0;
        }
        if (ready == m_instances.size()) {
            m_log.write("all instances are ready");
            co_return true;
        }
        co_await sleepFor(m_context, milliseconds(200));
    }
    co_return false;
}

asio::awaitable<std::optional<answer>> cell::ask(std::string method, const queue &to,
                                                 std::string id, std::string body,
                                                 milliseconds patience)
{
    const auto &one = m_instances[m_next++ % m_instances.size()];
    const auto target = "/" + to.name + "/" + id;
    m_log.write("client sends " + method + " " + target + " to " + one.name + ", "
                + std::to_string(body.size()) + " bytes");
    const auto got = co_await call(m_context, one.front, method, target, std::string(host),
                                   std::move(body), patience);
    m_log.write("client gets " + (got ? std::to_string(got->status) : std::string("no answer"))
                + " for " + method + " " + target + (got ? " " + got->body : std::string()));
    co_return got;
}

asio::awaitable<bool> cell::submit(const queue &to, std::string id, std::string body)
{
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto got = co_await ask("POST", to, id, body);
        if (got && got->status / 100 == 2)
            co_return true;
        if (got && got->status != 502 && got->status != 504)
            co_return false;
        co_await sleepFor(m_context, milliseconds(500));
    }
    co_return false;
}

asio::awaitable<std::string> cell::state(const queue &of, std::string id)
{
    const auto got = co_await ask("GET", of, id, {});
    if (!got || got->status != 200)
        co_return std::string();
    const auto from = got->body.find(":\"");
    if (from == std::string::npos)
        co_return std::string();
    co_return got->body.substr(from + 2, got->body.find('"', from + 2) - from - 2);
}

} // namespace review
