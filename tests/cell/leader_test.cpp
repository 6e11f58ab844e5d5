#include "cell/memory_ports.h"
#include "support/boot_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::jobs::job_state;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const std::string id = "00000000000000f1";
const row_key leaderKey {"cell", "leader", {}};
const row_key endedKey {"ended", id, {}};

leader_row makeRow(const std::string &holder, std::uint64_t term)
{
    return {holder, "10.0.0.1:7000", term, 0, false};
}

// A job is submitted while the store fails in the given way. After a failure another instance takes
// the cell over.
struct takeover_case
{
    const char *name;
    memory_store::failure_mode mode;
    // The expected response.
    bool leads;
    bool outcomeUnknown;
    unsigned status;
    bool inStore;
};

const takeover_case cases[] = {
    {"a job that was stored is accepted", memory_store::failure_mode::None, true, false, 200, true},
    {"a job that may have been stored gets an unknown outcome, not a rejection",
     memory_store::failure_mode::LosesReplies, false, true, 0, true},
};

struct leader_fixture
{
    explicit leader_fixture(bool endedBefore)
    {
        transaction first;
        if (endedBefore)
            first.puts.emplace_back(endedKey, std::string(jobs::stateName(job_state::Completed)));
        store.unreadableTable = endedBefore ? "ended" : "";
        first.puts.emplace_back(leaderKey, encodeLeaderRow(makeRow("one", 1)));
        first.puts.emplace_back(row_key {"op", "config", {}}, "any");
        const auto revision = store.apply(first).revision;
        leader_options options;
        options.instance = "one";
        leading = std::make_shared<leader>(context, ports, options, makeRow("one", 1), revision);
        asio::co_spawn(context, leading->run(), asio::detached);
        while (!leading->ready())
            context.run_one();
    }

    void submit()
    {
        asio::co_spawn(
            context,
            [this]() -> awaitable<void> {
                caller_request request;
                request.method = "POST";
                request.host = "host";
                request.target = "/q/" + id;
                request.deadline = clock::now() + std::chrono::seconds(30);
                response = co_await leading->handleRequest(std::move(request));
            },
            asio::detached);
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::unresponsive_workers workers;
    tests::unresponsive_advisor advisor;
    tests::fixed_codec codec;
    peer_transport peers {context, {}};
    cell_ports ports {store, workers, advisor, codec, {{"op", "config", {}}, "servers"}, peers};
    std::shared_ptr<leader> leading;
    std::optional<caller_response> response;
};

} // namespace

TEST_CASE("Response to a submission whose leader is replaced")
{
    for (const auto &row : cases) {
        CAPTURE(std::string(row.name));
        leader_fixture fixture(false);
        auto &store = fixture.store;
        store.mode = row.mode;
        fixture.submit();
        const row_key jobRow {"jobs", id, {}};
        while (!store.rows.contains(jobRow))
            fixture.context.run_one();
        if (row.mode != memory_store::failure_mode::None) {
            transaction claim;
            claim.preconditions.push_back({leaderKey, store.rows.at(leaderKey).revision});
            claim.puts.emplace_back(leaderKey, encodeLeaderRow(makeRow("two", 2)));
            REQUIRE(store.apply(claim).applied);
            store.mode = memory_store::failure_mode::None;
        }
        while (!fixture.response)
            fixture.context.run_one();
        CHECK(fixture.response->leads == row.leads);
        CHECK(fixture.response->outcomeUnknown == row.outcomeUnknown);
        CHECK(fixture.response->status == row.status);
        CHECK(store.rows.contains(jobRow) == row.inStore);
    }
}

// Guards against a write that stays blocked on a hanging call after the store has recovered.
TEST_CASE("A write without a reply is hedged while the first attempt hangs")
{
    leader_fixture fixture(false);
    auto &store = fixture.store;
    store.mode = memory_store::failure_mode::Unresponsive;
    fixture.submit();
    while (store.openCalls == 0)
        fixture.context.run_one();
    store.mode = memory_store::failure_mode::None;
    while (!fixture.response && store.openCalls > 0)
        fixture.context.run_one();
    CHECK(store.openCalls > 0);
    REQUIRE(fixture.response);
    CHECK(fixture.response->status == 200);
    CHECK(store.rows.contains({"jobs", id, {}}));
}

// Guards against a second attempt at a write without a condition that the first one has.
TEST_CASE("An ended job is not accepted again when ended jobs are loaded between two attempts")
{
    leader_fixture fixture(true);
    auto &store = fixture.store;
    fixture.submit();
    store.mode = memory_store::failure_mode::CommitsUnresponsive;
    while (store.openCalls == 0)
        fixture.context.run_one();
    store.unreadableTable.clear();
    while (fixture.leading->metrics().find(R"(ended_jobs_loaded{partition="0"} 1)")
           == std::string::npos)
        fixture.context.run_one();
    store.mode = memory_store::failure_mode::None;
    while (!fixture.response)
        fixture.context.run_one();
    CHECK(fixture.response->status == 200);
    CHECK_FALSE(store.rows.contains({"jobs", id, {}}));
    CHECK(store.rows.at(endedKey).value == jobs::stateName(job_state::Completed));
}
