#include "cell/memory_ports.h"
#include "support/boot_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const std::string id = "00000000000000f1";
const row_key leaderKey {"cell", "leader"};

leader_row rowOf(const std::string &holder, std::uint64_t term)
{
    return {holder, "10.0.0.1:7000", term, 0, false};
}

// A job is handed in while the store misbehaves; then another instance takes the cell over.
struct loss_row
{
    const char *name;
    memory_store::mood mood;
    // What the caller may conclude.
    bool leads;
    bool uncertain;
    unsigned status;
    bool inStore;
};

const loss_row rows[] = {
    {"a job that the store has is accepted", memory_store::mood::Well, true, false, 200, true},
    {"a job that may be in the store is not said to be refused", memory_store::mood::LosesAnswers,
     false, true, 0, true},
};

struct leader_world
{
    leader_world()
    {
        transaction first;
        first.puts.emplace_back(leaderKey, encodeLeaderRow(rowOf("one", 1)));
        first.puts.emplace_back(row_key {"op", "config"}, "any");
        const auto revision = store.apply(first).revision;
        leader_options options;
        options.instance = "one";
        leading = std::make_shared<leader>(context, ports, options, rowOf("one", 1), revision);
        asio::co_spawn(context, leading->run(), asio::detached);
        while (!leading->ready())
            context.run_one();
    }

    void submit()
    {
        asio::co_spawn(
            context,
            [this]() -> awaitable<void> {
                caller_call call;
                call.method = "POST";
                call.host = "host";
                call.target = "/q/" + id;
                call.deadline = clock::now() + std::chrono::seconds(30);
                told = co_await leading->handle(std::move(call));
            },
            asio::detached);
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::no_workers workers;
    tests::no_advisor advisor;
    tests::plain_codec codec;
    peer_link peers {context, {}};
    cell_ports ports {store, workers, advisor, codec, {{"op", "config"}, "servers"}, peers};
    std::shared_ptr<leader> leading;
    std::optional<caller_answer> told;
};

} // namespace

TEST_CASE("What a caller is told when its leader is replaced")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        leader_world world;
        auto &store = world.store;
        store.now = row.mood;
        world.submit();
        const row_key jobRow {"jobs", id};
        while (!store.rows.contains(jobRow))
            world.context.run_one();
        if (row.mood != memory_store::mood::Well) {
            transaction claim;
            claim.expected.push_back({leaderKey, store.rows.at(leaderKey).revision});
            claim.puts.emplace_back(leaderKey, encodeLeaderRow(rowOf("two", 2)));
            REQUIRE(store.apply(claim).applied);
            store.now = memory_store::mood::Well;
        }
        while (!world.told)
            world.context.run_one();
        CHECK(world.told->leads == row.leads);
        CHECK(world.told->uncertain == row.uncertain);
        CHECK(world.told->status == row.status);
        CHECK(store.rows.contains(jobRow) == row.inStore);
    }
}

// Load pattern: the store falls silent and is back while a call to it still hangs.
TEST_CASE("A write that has no answer is tried again beside the one that hangs")
{
    leader_world world;
    auto &store = world.store;
    store.now = memory_store::mood::Silent;
    world.submit();
    while (store.unanswered == 0)
        world.context.run_one();
    store.now = memory_store::mood::Well;
    while (!world.told && store.unanswered > 0)
        world.context.run_one();
    CHECK(store.unanswered > 0);
    REQUIRE(world.told);
    CHECK(world.told->status == 200);
    CHECK(store.rows.contains({"jobs", id}));
}
