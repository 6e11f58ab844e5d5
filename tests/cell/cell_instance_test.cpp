#include "cell/cell_instance.h"
#include "cell/memory_ports.h"
#include "free_port.h"
#include "support/http_client.h"
#include "support/http_message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <functional>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

const row_key layoutKey {"cell", "layout", {}};
constexpr std::chrono::seconds patience {20};
// Calls between instances that no longer lead end within this time.
constexpr milliseconds callEndTime {300};

struct reply
{
    unsigned status = 0;
    std::string body;
};

// Instances of one cell on loopback, on a store that the test prepares.
struct cell_fixture
{
    explicit cell_fixture(const std::vector<std::pair<row_key, std::string>> &rows, int listed)
    {
        codec.host = "127.0.0.1";
        transaction first;
        first.puts = rows;
        first.puts.emplace_back(row_key {"op", "config", {}}, "any");
        for (int i = 0; i < listed; ++i)
            first.puts.emplace_back(row_key {"servers", "w" + std::to_string(i), {}}, "any");
        store.apply(first);
    }

    // Instances that lead few workers each, so that a small fleet is divided.
    void start(const std::string &name, milliseconds takeoverDelay = milliseconds(0))
    {
        instance_options options;
        const auto loopback = asio::ip::make_address("127.0.0.1");
        options.instance = name;
        options.callerListen = {loopback, tests::freePort()};
        options.readyListen = {loopback, tests::freePort()};
        options.peerListen = "127.0.0.1:" + std::to_string(tests::freePort());
        options.leader.instance = name;
        options.capacity = {100, 0};
        options.takeoverDelay = takeoverDelay;
        options.stopAcceptDelay = milliseconds(1);
        callers.push_back(options.callerListen);
        operators.push_back(options.readyListen);
        instances.push_back(
            std::make_unique<cell_instance>(context, options, store, workers, advisor, codec,
                                            platform_tables {{"op", "config", {}}, "servers"}));
        REQUIRE_FALSE(instances.back()->start());
    }

    bool runUntil(const std::function<bool()> &done)
    {
        const auto end = clock::now() + patience;
        while (!done() && clock::now() < end)
            context.run_one_for(milliseconds(20));
        return done();
    }

    std::optional<leader_row> leaderOf(partition_id partition) const
    {
        const auto found = store.rows.find({"cell", "leader", partition.storePart()});
        return found == store.rows.end() ? std::nullopt : decodeLeaderRow(found->second.value);
    }

    bool allLed(std::uint32_t partitions) const
    {
        for (std::uint32_t index = 0; index < partitions; ++index) {
            const auto row = leaderOf({index, partitions});
            if (!row || row->resigned || row->sequence == 0)
                return false;
        }
        return true;
    }

    // Sends a caller's request to one of the instances.
    reply request(std::size_t instance, http::verb method, const std::string &target)
    {
        return send(callers[instance], support::makeRequest(method, target, "{}"));
    }

    reply send(asio::ip::tcp::endpoint to, support::http_request message)
    {
        std::optional<reply> received;
        asio::co_spawn(
            context,
            [&]() -> awaitable<void> {
                support::http_client client(context, to, 1);
                const auto outcome =
                    co_await client.fetch(std::move(message), clock::now() + patience);
                received = outcome ? reply {outcome->result_int(), outcome->body()} : reply {};
            },
            asio::detached);
        runUntil([&] { return received.has_value(); });
        return received.value_or(reply {});
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::unresponsive_workers workers;
    tests::unresponsive_advisor advisor;
    tests::fixed_codec codec;
    std::vector<asio::ip::tcp::endpoint> callers;
    // Listeners for metrics and questions of operators.
    std::vector<asio::ip::tcp::endpoint> operators;
    std::vector<std::unique_ptr<cell_instance>> instances;
};

struct join_row
{
    const char *name;
    // Rows present before the instance starts.
    std::vector<std::pair<row_key, std::string>> rows;
    int workers;
    std::uint32_t partitions;
};

const join_row joins[] = {
    {"a stored layout is followed", {{layoutKey, R"({"partitions":2})"}}, 10, 2},
    {"a cell of an earlier version has one partition",
     {{{"cell", "leader", {}}, encodeLeaderRow({"two", "127.0.0.1:1", 3, 9, true})}},
     1000,
     1},
    {"a new cell is divided by its fleet", {}, 200, 3},
};

} // namespace

TEST_CASE("An instance joins a cell and leads its partitions when nobody else does")
{
    for (const auto &row : joins) {
        CAPTURE(std::string(row.name));
        cell_fixture fixture(row.rows, row.workers);
        fixture.start("one");
        CHECK(fixture.runUntil([&] { return fixture.allLed(row.partitions); }));
        REQUIRE(fixture.store.rows.contains(layoutKey));
        CHECK(decodeLayout(fixture.store.rows.at(layoutKey).value) == cell_layout {row.partitions});
        for (std::uint32_t index = 0; index < row.partitions; ++index)
            CHECK(fixture.leaderOf({index, row.partitions})->holder == "one");
    }
}

TEST_CASE("A layout that cannot be read is neither replaced nor guessed")
{
    cell_fixture fixture({{layoutKey, "of a later version"}}, 10);
    fixture.start("one");
    const auto until = clock::now() + std::chrono::seconds(1);
    fixture.runUntil([&] { return clock::now() >= until; });
    CHECK(fixture.store.rows.at(layoutKey).value == "of a later version");
    CHECK(fixture.request(0, http::verb::get, "/q/00000000000000f1").status == 503);
}

TEST_CASE("Jobs of all partitions are found at any instance")
{
    constexpr std::uint32_t partitions = 3;
    cell_fixture fixture({{layoutKey, R"({"partitions":3})"}}, 0);
    fixture.start("one");
    fixture.start("two");
    REQUIRE(fixture.runUntil([&] { return fixture.allLed(partitions); }));
    const std::vector<std::string> jobs {"00000000000000f1", "00000000000000f2", "00000000000000f3",
                                         "00000000000000f4", "00000000000000f5"};
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        CAPTURE(jobs[i]);
        CHECK(fixture.request(i % 2, http::verb::post, "/q/" + jobs[i]).status == 200);
        // Handed in again at the other instance, it remains one job.
        CHECK(fixture.request(1 - i % 2, http::verb::post, "/q/" + jobs[i]).status == 200);
        const partition_id partition {partitionOfJob(jobs[i], partitions), partitions};
        CHECK(fixture.store.rows.contains({"jobs", jobs[i], partition.storePart()}));
    }
    for (std::size_t instance = 0; instance < 2; ++instance) {
        for (const auto &job : jobs) {
            CHECK(fixture.request(instance, http::verb::get, "/q/" + job).status == 200);
        }
        CHECK(fixture.request(instance, http::verb::get, "/q/0000000000000abc").status == 410);
        const auto waiting = fixture.request(instance, http::verb::get, "/q/");
        CHECK(waiting.status == 200);
        CHECK(waiting.body == std::to_string(jobs.size()));
    }
}

TEST_CASE("Any instance tells an operator why jobs of all partitions are not done")
{
    constexpr std::uint32_t partitions = 3;
    cell_fixture fixture({{layoutKey, R"({"partitions":3})"}}, 0);
    fixture.start("one");
    fixture.start("two");
    REQUIRE(fixture.runUntil([&] { return fixture.allLed(partitions); }));
    const std::vector<std::string> jobs {"00000000000000f1", "00000000000000f2", "00000000000000f3",
                                         "00000000000000f4", "00000000000000f5"};
    for (const auto &job : jobs)
        REQUIRE(fixture.request(0, http::verb::post, "/q/" + job).status == 200);
    struct question_row
    {
        const char *name;
        std::string path;
        unsigned status;
        std::vector<std::string> parts;
    };
    std::vector<std::string> allJobs {
        "partition=0 leader=", "partition=1 leader=", "partition=2 leader="};
    for (const auto &job : jobs)
        allJobs.push_back("job=" + job + " why=\"" + job + ".0.0.0 waiting=1 ");
    const question_row rows[] = {
        {"all jobs", "/jobs", 200, allJobs},
        {"one job",
         "/jobs/" + jobs[2],
         200,
         {" job=" + jobs[2] + " state=queued\n", "why=\"" + jobs[2] + ".0.0.0 waiting=1 "}},
        {"a job that is not known",
         "/jobs/00000000000000ff",
         200,
         {" job=00000000000000ff state=unknown\n"}},
        {"no job", "/jobs/any", 404, {}},
    };
    for (std::size_t instance = 0; instance < 2; ++instance) {
        for (const auto &row : rows) {
            CAPTURE(std::string(row.name));
            const auto answer = fixture.send(fixture.operators[instance],
                                             support::makeRequest(http::verb::get, row.path, {}));
            CHECK(answer.status == row.status);
            INFO(answer.body);
            for (const auto &part : row.parts)
                CHECK(answer.body.find(part) != std::string::npos);
        }
        auto forged = support::makeRequest(http::verb::get, "/jobs", {});
        forged.method_string(leader::explainMethod);
        CHECK(fixture.send(fixture.callers[instance], std::move(forged)).status == 405);
    }
}

// Guards against a request for shares of a limit that does not reach the leader of partition 0, at
// the same instance or another one.
TEST_CASE("The partitions of a cell share the limit of a workspace")
{
    constexpr std::uint32_t partitions = 3;
    cell_fixture fixture({{layoutKey, R"({"partitions":3})"}}, 0);
    fixture.codec.workspaces = {{"a", {}, 10, {90'000, 0, 0}}};
    fixture.start("one");
    fixture.start("two");
    REQUIRE(fixture.runUntil([&] { return fixture.allLed(partitions); }));
    const auto ceilings = [&] {
        std::vector<std::string> values;
        const std::string name = "plantaingap_workspace_ceiling_millicores{";
        for (const auto &instance : fixture.operators) {
            const auto text =
                fixture.send(instance, support::makeRequest(http::verb::get, "/metrics", {})).body;
            for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
                const auto value = text.find("} ", at) + 2;
                values.push_back(text.substr(value, text.find('\n', value) - value));
            }
        }
        return values;
    };
    const std::vector<std::string> shared(partitions, "30000");
    CHECK(fixture.runUntil([&] { return ceilings() == shared; }));
    std::size_t stopped = 0;
    for (auto &instance : fixture.instances)
        instance->stop([&] { ++stopped; });
    CHECK(fixture.runUntil([&] { return stopped == fixture.instances.size(); }));
    // An instance cannot be destroyed while it has to answer a call of the other.
    fixture.context.run_for(callEndTime);
}

TEST_CASE("Jobs stay in their partitions when an instance stops")
{
    constexpr std::uint32_t partitions = 2;
    cell_fixture fixture({{layoutKey, R"({"partitions":2})"}}, 0);
    fixture.start("one");
    REQUIRE(fixture.runUntil([&] { return fixture.allLed(partitions); }));
    fixture.start("two");
    const std::vector<std::string> jobs {"00000000000000f1", "00000000000000f2",
                                         "00000000000000f3"};
    for (const auto &job : jobs)
        CHECK(fixture.request(0, http::verb::post, "/q/" + job).status == 200);
    fixture.instances[0]->stop([] {});
    const auto ledByTwo = [&] {
        return fixture.allLed(partitions) && fixture.leaderOf({0, partitions})->holder == "two"
               && fixture.leaderOf({1, partitions})->holder == "two";
    };
    REQUIRE(fixture.runUntil(ledByTwo));
    for (const auto &job : jobs)
        CHECK(fixture.request(1, http::verb::get, "/q/" + job).status == 200);
}

struct yield_row
{
    const char *name;
    std::uint32_t partitions;
    milliseconds firstDelay;
    milliseconds secondDelay;
    // The most partitions that one instance leads in the end.
    std::uint32_t mostLed;
    bool secondLeads;
};

const yield_row yields[] = {
    {"a small instance yields to one that can bear it", 1, milliseconds(400), milliseconds(0), 1,
     true},
    {"a small instance leads on when there is no better one", 1, milliseconds(400),
     milliseconds(400), 1, false},
    {"leaders of several partitions move to different instances", 2, milliseconds(0),
     milliseconds(0), 1, true},
};

// Load: after a loss of many instances the first that could take over led; it is short of processor
// time when the load returns.
TEST_CASE("A leader that is not well placed yields")
{
    for (const auto &row : yields) {
        CAPTURE(std::string(row.name));
        cell_fixture fixture({{layoutKey, encodeLayout(cell_layout {row.partitions})}}, 0);
        fixture.start("one", row.firstDelay);
        REQUIRE(fixture.runUntil([&] { return fixture.allLed(row.partitions); }));
        fixture.start("two", row.secondDelay);
        const auto ledBy = [&](const std::string &instance) {
            std::uint32_t count = 0;
            for (std::uint32_t index = 0; index < row.partitions; ++index) {
                const auto leads = fixture.leaderOf({index, row.partitions});
                count += leads && leads->holder == instance ? 1 : 0;
            }
            return count;
        };
        const auto until = clock::now() + std::chrono::seconds(8);
        fixture.runUntil([&] {
            return clock::now() >= until
                   || (row.secondLeads && fixture.allLed(row.partitions) && ledBy("two") > 0
                       && ledBy("one") <= row.mostLed && ledBy("two") <= row.mostLed);
        });
        CHECK((ledBy("two") > 0) == row.secondLeads);
        CHECK(ledBy("one") <= row.mostLed);
        CHECK(ledBy("two") <= row.mostLed);
    }
}
