#include "cell/memory_ports.h"
#include "free_port.h"
#include "support/boot_time.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const row_key configurationKey {"op", "config", {}};
const row_key ceilingsKey {"cell", "limit_ceilings", "p0"};
constexpr std::uint32_t partitions = 2;
constexpr std::chrono::seconds patience {20};
constexpr std::int64_t limitedCores = 100'000;

row_key leaderKey(std::uint32_t partition)
{
    return {"cell", "leader", "p" + std::to_string(partition)};
}

// An instance that leads one partition.
struct limit_leader
{
    limit_leader(asio::io_context &io, memory_store &tables, const platform_codec &codec,
                 std::uint32_t partition, std::uint64_t term)
        : context(io)
        , store(tables)
        , address("127.0.0.1:" + std::to_string(tests::freePort()))
        , peers(context, {{},
                          {},
                          {},
                          [this](jobs::limit_request request) {
                              return leading->handleLimitRequest(std::move(request));
                          }})
        , ports {store, workers, advisor, codec, {configurationKey, "servers"}, peers}
    {
        REQUIRE_FALSE(peers.listen(address));
        const leader_row row {address, address, term, 0, false};
        transaction claim;
        claim.puts.emplace_back(leaderKey(partition), encodeLeaderRow(row));
        const auto revision = store.apply(claim).revision;
        leader_options options;
        options.instance = address;
        options.partition = {partition, partitions};
        options.scheduler.partitions = partitions;
        options.scheduler.previousLeaderLease = milliseconds(50);
        leading =
            std::make_shared<leader>(context, ports, options, row, revision, support::bootNow());
        asio::co_spawn(
            context,
            [this]() -> awaitable<void> {
                co_await leading->run();
                ended = true;
            },
            asio::detached);
    }

    // What the leader may start, none if it shares no limit.
    std::optional<std::int64_t> ceiling() const
    {
        const auto text = leading->metrics();
        const std::string name = "plantaingap_workspace_ceiling_millicores{";
        const auto at = text.find(name);
        if (at == std::string::npos)
            return std::nullopt;
        return std::stoll(text.substr(text.find("} ", at) + 2));
    }

    asio::io_context &context;
    memory_store &store;
    std::string address;
    tests::unresponsive_workers workers;
    tests::unresponsive_advisor advisor;
    std::shared_ptr<leader> leading;
    bool ended = false;
    peer_transport peers;
    cell_ports ports;
};

struct limit_fixture
{
    limit_fixture()
    {
        codec.workspaces = {{"a", {}, 10, {limitedCores, 0, 0}}};
        transaction first;
        first.puts.emplace_back(configurationKey, "1");
        store.apply(first);
    }

    ~limit_fixture()
    {
        store.mode = memory_store::failure_mode::None;
        for (auto &each : leaders)
            each->leading->resign();
        await([this] {
            return std::ranges::all_of(leaders, [](const auto &each) { return each->ended; });
        });
        // Calls that are still open end with the leaders.
        context.run_for(milliseconds(300));
    }

    limit_leader &lead(std::uint32_t partition, std::uint64_t term = 1)
    {
        leaders.push_back(std::make_unique<limit_leader>(context, store, codec, partition, term));
        auto &added = *leaders.back();
        await([&] { return added.leading->ready(); });
        return added;
    }

    template<class Condition>
    void await(Condition condition)
    {
        const auto giveUpAt = clock::now() + patience;
        while (!condition() && clock::now() < giveUpAt)
            context.run_one_for(milliseconds(100));
        CHECK(condition());
    }

    void awaitCeiling(const limit_leader &of, std::int64_t expected)
    {
        await([&] { return of.ceiling() == expected; });
        CHECK(of.ceiling() == expected);
    }

    // The operators store another limit; the leaders learn of it by a request.
    void changeLimit(std::int64_t cores)
    {
        codec.workspaces[0].limit.milliCores = cores;
        ++codec.configurationVersion;
        transaction change;
        change.puts.emplace_back(configurationKey, std::to_string(codec.configurationVersion));
        store.apply(change);
    }

    void learnConfiguration(limit_leader &of)
    {
        caller_request request;
        request.method = "GET";
        request.host = "host";
        request.target = "/open/";
        request.configurationVersion = codec.configurationVersion;
        request.deadline = clock::now() + patience;
        bool answered = false;
        asio::co_spawn(
            context,
            [&]() -> awaitable<void> {
                co_await of.leading->handleRequest(std::move(request));
                answered = true;
            },
            asio::detached);
        await([&] { return answered; });
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::fixed_codec codec;
    std::vector<std::unique_ptr<limit_leader>> leaders;
};

} // namespace

TEST_CASE("The leaders of two partitions share a limit, which is stored before it is told")
{
    limit_fixture fixture;
    auto &first = fixture.lead(0);
    CHECK(first.ceiling() == 0);
    // Partition 1 may use any amount until its leader has told.
    fixture.context.run_for(milliseconds(600));
    CHECK(first.ceiling() == 0);
    auto &second = fixture.lead(1);
    CHECK(second.ceiling() == 0);
    std::size_t rowsWhenTold = 0;
    fixture.await([&] {
        if (second.ceiling() == 0)
            rowsWhenTold = fixture.store.rows.contains(ceilingsKey) ? 1 : 0;
        return second.ceiling() > 0;
    });
    CHECK(rowsWhenTold == 1);
    fixture.awaitCeiling(first, limitedCores / partitions);
    fixture.awaitCeiling(second, limitedCores / partitions);
}

// Guards against a ceiling that no successor at partition 0 knows of.
TEST_CASE("While the store takes no writes, no higher ceiling is told")
{
    limit_fixture fixture;
    auto &first = fixture.lead(0);
    auto &second = fixture.lead(1);
    fixture.awaitCeiling(first, limitedCores / partitions);
    fixture.awaitCeiling(second, limitedCores / partitions);
    fixture.changeLimit(limitedCores / 2);
    fixture.store.mode = memory_store::failure_mode::CommitsUnresponsive;
    fixture.learnConfiguration(first);
    fixture.learnConfiguration(second);
    for (int i = 0; i < 15; ++i) {
        fixture.context.run_for(milliseconds(100));
        CHECK(first.ceiling() == 0);
        CHECK(second.ceiling() == 0);
    }
    fixture.store.mode = memory_store::failure_mode::None;
    fixture.awaitCeiling(first, limitedCores / 4);
    fixture.awaitCeiling(second, limitedCores / 4);
}

// Guards against partitions that go on asking a lost leader, and against a successor that forgets
// what they hold.
TEST_CASE("A successor at partition 0 is found, and knows what the partitions hold")
{
    limit_fixture fixture;
    auto &first = fixture.lead(0);
    auto &second = fixture.lead(1);
    fixture.awaitCeiling(first, limitedCores / partitions);
    fixture.awaitCeiling(second, limitedCores / partitions);
    const auto row = fixture.store.rows.at(ceilingsKey).value;
    auto &successor = fixture.lead(0, 2);
    fixture.await([&] { return first.ended; });
    CHECK_FALSE(first.leading->ready());
    fixture.awaitCeiling(successor, limitedCores / partitions);
    CHECK(second.ceiling() == limitedCores / partitions);
    CHECK(row.find(R"("a":[50000,0,0])") != std::string::npos);
    // Partition 1 asks the successor: a higher limit reaches it.
    fixture.changeLimit(limitedCores * 2);
    fixture.learnConfiguration(successor);
    fixture.learnConfiguration(second);
    fixture.awaitCeiling(second, limitedCores);
    fixture.awaitCeiling(successor, limitedCores);
}

// Guards against a successor that does not load the row: it could grant nothing, or too much, until
// every partition has a leader.
TEST_CASE("A successor at partition 0 grants what a partition without a leader does not hold")
{
    limit_fixture fixture;
    auto &first = fixture.lead(0);
    auto &second = fixture.lead(1);
    fixture.awaitCeiling(first, limitedCores / partitions);
    fixture.awaitCeiling(second, limitedCores / partitions);
    second.leading->resign();
    fixture.await([&] { return second.ended; });
    auto &successor = fixture.lead(0, 2);
    fixture.awaitCeiling(successor, limitedCores / partitions);
    fixture.context.run_for(milliseconds(600));
    CHECK(successor.ceiling() == limitedCores / partitions);
}

// Guards against a new leader that starts tasks by the ceiling of its predecessor.
TEST_CASE("A new leader starts nothing until it is told a ceiling")
{
    limit_fixture fixture;
    fixture.lead(0);
    auto &second = fixture.lead(1);
    fixture.awaitCeiling(second, limitedCores / partitions);
    auto &successor = fixture.lead(1, 2);
    CHECK(successor.ceiling() == 0);
    fixture.awaitCeiling(successor, limitedCores / partitions);
}
