#include "support/http_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>

// Closed-loop load: a number of callers, each of which sends its next request when it has its
// answer, until a number of requests is done. Every answer is compared with what its request asked
// for. Prints one JSON object with counts and latencies in microseconds; the exit code is 1 when an
// answer was lost, or was another request's.
namespace {

using namespace plantaingap;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace options = boost::program_options;

constexpr std::chrono::seconds patience {30};

struct load_plan
{
    std::vector<asio::ip::tcp::endpoint> servers;
    std::string target;
    std::string workClass;
    std::size_t callers = 0;
    std::size_t requests = 0;
    std::size_t bodyBytes = 0;
    // Requests that are not idempotent, each with a key of its own.
    bool keyed = false;
    // A caller whose instance went away, or refused as not run, goes on to the next one, with the
    // same request if it is idempotent or was not run.
    bool follow = false;
    std::uint32_t deadlineMs = 0;
};

struct load_counts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
    std::uint64_t crossed = 0;
    // Asked again elsewhere.
    std::uint64_t repeated = 0;
    std::vector<duration> latencies;
};

class load_run
{
public:
    load_run(asio::io_context &context, load_plan plan)
        : m_context(context)
        , m_plan(std::move(plan))
        , m_left(m_plan.requests)
    {
        m_counts.latencies.reserve(m_plan.requests);
    }

    void start()
    {
        m_startedAt = clock::now();
        for (std::size_t caller = 0; caller < m_plan.callers; ++caller)
            asio::co_spawn(m_context, call(caller), asio::detached);
    }

    boost::json::object report();
    bool clean() const { return m_counts.crossed == 0 && m_counts.failed == 0; }

private:
    asio::awaitable<void> call(std::size_t caller)
    {
        auto at = caller % m_plan.servers.size();
        auto client = std::make_unique<support::http_client>(m_context, m_plan.servers[at], 1);
        while (m_left > 0) {
            --m_left;
            auto body = "request " + std::to_string(++m_sent) + " ";
            body.resize(std::max(body.size(), m_plan.bodyBytes), '.');
            const auto message = request(body);
            const auto sentAt = clock::now();
            auto outcome = co_await client->fetch(message, sentAt + patience);
            while (m_plan.follow && clock::now() < sentAt + patience && mayAskAgain(outcome)) {
                ++m_counts.repeated;
                at = (at + 1) % m_plan.servers.size();
                client = std::make_unique<support::http_client>(m_context, m_plan.servers[at], 1);
                outcome = co_await client->fetch(message, sentAt + patience);
            }
            m_counts.latencies.push_back(clock::now() - sentAt);
            count(outcome, body);
        }
    }

    bool mayAskAgain(const support::http_outcome &outcome) const
    {
        if (outcome.has_error())
            return !m_plan.keyed || !outcome.error().written;
        return outcome->result() != http::status::ok && (*outcome)["Plantaingap-Run"] == "no";
    }

    support::http_request request(const std::string &body) const
    {
        auto message = support::makeRequest(http::verb::post, m_plan.target, body, "text/plain");
        message.set("Plantaingap-Class", m_plan.workClass);
        message.set("Plantaingap-Idempotent", m_plan.keyed ? "false" : "true");
        if (m_plan.keyed)
            message.set("Plantaingap-Request-Key", "load-" + std::to_string(m_sent));
        if (m_plan.deadlineMs > 0)
            message.set("Plantaingap-Deadline-Ms", std::to_string(m_plan.deadlineMs));
        // The stand-in for workers wants it when it is called directly.
        message.set("Plantaingap-Request-Id", std::to_string(m_sent));
        return message;
    }

    void count(const support::http_outcome &outcome, const std::string &body)
    {
        if (outcome.has_error())
            ++m_counts.failed;
        else if (outcome->result() == http::status::ok)
            ++(outcome->body() == body ? m_counts.answered : m_counts.crossed);
        else if ((*outcome)["Plantaingap-Run"] == "no")
            ++m_counts.refused;
        else
            ++m_counts.unknown;
    }

    asio::io_context &m_context;
    load_plan m_plan;
    std::size_t m_left;
    std::uint64_t m_sent = 0;
    time_point m_startedAt {};
    load_counts m_counts;
};

boost::json::object load_run::report()
{
    using microseconds = std::chrono::duration<double, std::micro>;
    using seconds = std::chrono::duration<double>;
    const auto took = seconds(clock::now() - m_startedAt).count();
    auto &latencies = m_counts.latencies;
    std::sort(latencies.begin(), latencies.end());
    const auto quantile = [&](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
        return microseconds(latencies[std::min(index, latencies.size() - 1)]).count();
    };
    boost::json::object report;
    report["answered"] = m_counts.answered;
    report["refused"] = m_counts.refused;
    report["unknown"] = m_counts.unknown;
    report["failed"] = m_counts.failed;
    report["crossed"] = m_counts.crossed;
    report["repeated"] = m_counts.repeated;
    report["per_second"] = static_cast<double>(latencies.size()) / took;
    if (!latencies.empty()) {
        report["p50_us"] = quantile(0.5);
        report["p99_us"] = quantile(0.99);
        report["p999_us"] = quantile(0.999);
    }
    return report;
}

} // namespace

int main(int argc, char **argv)
{
    load_plan plan;
    std::vector<std::string> servers;
    options::options_description known("A closed-loop load");
    known.add_options()("help", "show this")("server", options::value(&servers)->required(),
                                             "IP number and port; callers are dealt out to all")(
        "target", options::value(&plan.target)->required(), "path, as /services/NAME/")(
        "class", options::value(&plan.workClass)->default_value("normal"), "quick, normal, long")(
        "callers", options::value(&plan.callers)->default_value(8), "requests at once")(
        "requests", options::value(&plan.requests)->default_value(10000), "requests in all")(
        "body-bytes", options::value(&plan.bodyBytes)->default_value(64), "size of a request")(
        "deadline-ms", options::value(&plan.deadlineMs)->default_value(0),
        "0 for none")("keyed", options::bool_switch(&plan.keyed), "requests are not idempotent")(
        "follow", options::bool_switch(&plan.follow), "ask the next server when one goes away");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, known), given);
    if (given.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    options::notify(given);
    for (const auto &server : servers) {
        const auto endpoint = support::parseEndpoint(server);
        if (endpoint.has_error()) {
            std::cerr << server << ": not an address\n";
            return 2;
        }
        plan.servers.push_back(*endpoint);
    }
    asio::io_context context(1);
    load_run run(context, std::move(plan));
    std::cout << "event=ready" << std::endl;
    run.start();
    context.run();
    std::cout << boost::json::serialize(run.report()) << std::endl;
    return run.clean() ? 0 : 1;
}
