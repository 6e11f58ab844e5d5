#include "process/test_cluster.h"
#include "free_port.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

namespace plantaingap::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using support::formatEndpoint;
using support::http_client;
using support::http_request;
using support::http_response;

namespace {

constexpr const char *loopback = "127.0.0.1:";
constexpr unsigned workersPerRack = 2;

json::object listedWorker(unsigned index, const child_process &process)
{
    return {{"name", "worker-" + std::to_string(index)},
            {"address", addressOf(process, "workers")},
            {"region", "tt-north"},
            {"data_centre", "north-1"},
            {"rack", "rack-" + std::to_string(index / workersPerRack)},
            {"service", "register-search"},
            {"slots", 8},
            {"connections", 64},
            {"milli_cores", 64000},
            {"memory_mib", 131072},
            {"accelerators", 0},
            {"leaving", false}};
}

} // namespace

http_response fetch(const tcp::endpoint &server, http_request request)
{
    asio::io_context context;
    http_client client(context, server, 0);
    http_response response;
    response.result(0U);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto outcome = co_await client.fetch(std::move(request), clock::now() + patience);
            if (outcome.has_value())
                response = std::move(*outcome);
        },
        asio::detached);
    context.run();
    return response;
}

http_request call(const std::string &target, const std::string &body, const headers &given)
{
    auto request = support::makeRequest(http::verb::post, target, body, "text/plain");
    for (const auto &[name, value] : given)
        request.set(name, value);
    return request;
}

std::string addressOf(const child_process &process, const std::string &key)
{
    return formatEndpoint(process.address(key));
}

test_cluster::test_cluster(unsigned workers, unsigned entries,
                           const std::vector<std::string> &workerOptions)
{
    json::array listed;
    for (unsigned index = 0; index < workers; ++index) {
        auto options = workerOptions;
        options.push_back("--name=worker-" + std::to_string(index));
        m_workers.emplace_back("worker-stand-in", options);
        listed.push_back(listedWorker(index, m_workers.back()));
    }
    m_token = std::make_unique<temporary_file>(std::string(operatorToken));
    json::array instances;
    for (unsigned index = 0; index < entries; ++index) {
        instances.push_back({{"name", "entry-" + std::to_string(index)}, {"leaving", false}});
        m_peerPorts.push_back(tests::freePort());
        m_callerPorts.push_back(tests::freePort());
    }
    m_list = {{"revision", 1}, {"instances", instances}, {"workers", listed}};
    m_files.push_back(std::make_unique<temporary_file>(json::serialize(m_list)));
    m_platform = std::make_unique<child_process>(
        "platform-stand-in", std::vector<std::string> {"--list=" + m_files.back()->path()});
    for (unsigned index = 0; index < entries; ++index) {
        m_files.push_back(std::make_unique<temporary_file>(entrySettings(index)));
        m_entries.emplace_back("plantaingapd", std::vector<std::string> {m_files.back()->path()});
    }
}

std::string test_cluster::entrySettings(unsigned index) const
{
    json::array peers;
    for (unsigned peer = 0; peer < m_peerPorts.size(); ++peer) {
        peers.push_back({{"name", "entry-" + std::to_string(peer)},
                         {"address", loopback + std::to_string(m_peerPorts[peer])}});
    }
    const json::object settings = {
        {"instance", "entry-" + std::to_string(index)},
        {"region", "tt-north"},
        {"data_centre", "north-1"},
        {"caller_listen", loopback + std::to_string(m_callerPorts.at(index))},
        {"admin_listen", loopback + std::to_string(0)},
        {"peer_listen", loopback + std::to_string(m_peerPorts.at(index))},
        {"peers", peers},
        {"platform", addressOf(*m_platform, "address")},
        {"principals",
         {{{"name", "on-call"}, {"role", "operator"}, {"token_file", m_token->path()}}}}};
    return json::serialize(settings);
}

void test_cluster::restartEntry(unsigned index)
{
    // The list is the first file, so the instances' files follow from the second.
    m_entries.at(index) =
        child_process("plantaingapd", std::vector<std::string> {m_files.at(index + 1)->path()});
}

void test_cluster::awaitService(unsigned index)
{
    constexpr unsigned inARow = 20;
    const auto server = m_entries.at(index).address("callers");
    const auto until = clock::now() + patience;
    unsigned answered = 0;
    while (answered < inARow) {
        REQUIRE(clock::now() < until);
        const auto body = "question " + std::to_string(++m_questions);
        const auto answer = fetch(
            server, call("/services/register-search/", body, {{"Plantaingap-Idempotent", "true"}}));
        answered = answer.result_int() == 200 ? answered + 1 : 0;
    }
}

http_response test_cluster::askUntilRun(unsigned index, const http_request &request)
{
    const auto server = m_entries.at(index).address("callers");
    const auto until = clock::now() + patience;
    while (true) {
        REQUIRE(clock::now() < until);
        auto answer = fetch(server, request);
        // Refused as not run while nobody owns the worker's group yet.
        if (answer["Plantaingap-Run"] != "no")
            return answer;
    }
}

void test_cluster::controlPlatform(const std::string &order) const
{
    const auto answer = fetch(m_platform->address("address"),
                              support::makeRequest(http::verb::post, "/control", order));
    REQUIRE(answer.result_int() == 200);
}

void test_cluster::listOnly(unsigned workers) const
{
    auto list = m_list;
    auto &listed = list.at("workers").as_array();
    listed.erase(listed.begin() + workers, listed.end());
    controlPlatform(json::serialize(json::object {{"list", list}}));
    auto ask = support::makeRequest(http::verb::get, "/v1/status", "");
    ask.set(http::field::authorization, "Bearer " + std::string(operatorToken));
    const auto until = clock::now() + patience;
    for (const auto &entry : m_entries) {
        std::size_t seen = 0;
        while (seen != workers) {
            REQUIRE(clock::now() < until);
            const auto status = json::parse(fetch(entry.address("administration"), ask).body());
            const auto *told = status.as_object().if_contains("workers");
            seen = told ? told->as_array().size() : 0;
        }
    }
}

std::int64_t test_cluster::count(const std::string &name) const
{
    std::int64_t sum = 0;
    for (const auto &worker : m_workers) {
        const auto answer = fetch(worker.address("workers"),
                                  support::makeRequest(http::verb::get, "/statistics", ""));
        sum += json::parse(answer.body()).at(name).to_number<std::int64_t>();
    }
    return sum;
}

child_process test_cluster::load(unsigned callers, unsigned requests,
                                 std::vector<std::string> options)
{
    for (const auto &entry : m_entries)
        options.push_back("--server=" + addressOf(entry, "callers"));
    options.push_back("--target=/services/register-search/");
    options.push_back("--callers=" + std::to_string(callers));
    options.push_back("--requests=" + std::to_string(requests));
    return {"load", options};
}

} // namespace plantaingap::test
