#include "cell/memory_ports.h"
#include "support/boot_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::jobs::job_state;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const std::string id = "00000000000000f1";
const std::string otherId = "00000000000000f2";
const row_key leaderKey {"cell", "leader", {}};
const row_key endedKey {"ended", id, {}};
const row_key remainingKey {"progress", otherId, {}};

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
    // `remainingRuns`: the row of another job that ended before its runs did, empty for none.
    explicit leader_fixture(bool endedBefore, const std::string &remainingRuns)
    {
        transaction first;
        if (!remainingRuns.empty())
            first.puts.emplace_back(remainingKey, remainingRuns);
        if (endedBefore)
            first.puts.emplace_back(endedKey, std::string(jobs::stateName(job_state::Completed)));
        store.unreadableTable = endedBefore ? "ended" : "";
        first.puts.emplace_back(leaderKey, encodeLeaderRow(makeRow("one", 1)));
        first.puts.emplace_back(row_key {"op", "config", {}}, "any");
        const auto revision = store.apply(first).revision;
        leader_options options;
        options.instance = "one";
        options.scheduler.previousLeaderLease = milliseconds(50);
        leading = std::make_shared<leader>(context, ports, options, makeRow("one", 1), revision,
                                           support::bootNow());
        asio::co_spawn(context, leading->run(), asio::detached);
        while (!leading->ready())
            context.run_one();
    }

    void submit(const std::string &job, std::uint64_t configurationVersion = 0)
    {
        asio::co_spawn(
            context,
            [this, job, configurationVersion]() -> awaitable<void> {
                caller_request request;
                request.method = "POST";
                request.host = "host";
                request.target = "/q/" + job;
                request.deadline = clock::now() + std::chrono::seconds(30);
                request.configurationVersion = configurationVersion;
                responses[job] = co_await leading->handleRequest(std::move(request));
            },
            asio::detached);
    }

    bool endedJobsLoaded() const
    {
        return leading->metrics().find(R"(ended_jobs_loaded{partition="0"} 1)")
               != std::string::npos;
    }

    bool orphanRuns(int count) const
    {
        return leading->metrics().find(R"(orphan_runs{partition="0"} )" + std::to_string(count)
                                       + "\n")
               != std::string::npos;
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::unresponsive_workers workers;
    tests::unresponsive_advisor advisor;
    tests::fixed_codec codec;
    peer_transport peers {context, {}};
    cell_ports ports {store, workers, advisor, codec, {{"op", "config", {}}, "servers"}, peers};
    std::shared_ptr<leader> leading;
    std::map<std::string, caller_response> responses;
};

} // namespace

TEST_CASE("Response to a submission whose leader is replaced")
{
    for (const auto &row : cases) {
        CAPTURE(std::string(row.name));
        leader_fixture fixture(false, {});
        auto &store = fixture.store;
        store.mode = row.mode;
        fixture.submit(id);
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
        while (fixture.responses.empty())
            fixture.context.run_one();
        CHECK(fixture.responses.at(id).leads == row.leads);
        CHECK(fixture.responses.at(id).outcomeUnknown == row.outcomeUnknown);
        CHECK(fixture.responses.at(id).status == row.status);
        CHECK(store.rows.contains(jobRow) == row.inStore);
    }
}

// Guards against a write that stays blocked on a hanging call after the store has recovered.
TEST_CASE("A write without a reply is hedged while the first attempt hangs")
{
    leader_fixture fixture(false, {});
    auto &store = fixture.store;
    store.mode = memory_store::failure_mode::Unresponsive;
    fixture.submit(id);
    while (store.openCalls == 0)
        fixture.context.run_one();
    store.mode = memory_store::failure_mode::None;
    while (fixture.responses.empty() && store.openCalls > 0)
        fixture.context.run_one();
    CHECK(store.openCalls > 0);
    REQUIRE(fixture.responses.contains(id));
    CHECK(fixture.responses.at(id).status == 200);
    CHECK(store.rows.contains({"jobs", id, {}}));
}

namespace {

// How the first attempt at the write of a job that ended before fares, and when the leader reads
// the row of its end.
struct repeated_submission
{
    const char *name;
    memory_store::failure_mode firstAttempt;
    bool loadedBetweenAttempts;
    // Another job, which is new, is in the same batch.
    bool newJobInBatch;
};

const repeated_submission repeatedSubmissions[] = {
    {"no reply, ends loaded between", memory_store::failure_mode::CommitsUnresponsive, true, false},
    {"no reply, ends loaded between, with a new job",
     memory_store::failure_mode::CommitsUnresponsive, true, true},
    {"no reply, ends not loaded", memory_store::failure_mode::CommitsUnresponsive, false, true},
    {"rejected, ends loaded between", memory_store::failure_mode::Rejects, true, false},
    {"rejected, ends not loaded", memory_store::failure_mode::Rejects, false, true},
    {"reply lost, ends not loaded", memory_store::failure_mode::LosesReplies, false, false},
    {"first attempt succeeds, ends not loaded", memory_store::failure_mode::None, false, true},
};

} // namespace

// Guards against a second attempt at a write without a condition that the first one has.
TEST_CASE("An ended job that is submitted again is answered as ended and never stored again")
{
    for (const auto &row : repeatedSubmissions) {
        CAPTURE(std::string(row.name));
        leader_fixture fixture(true, {});
        auto &store = fixture.store;
        fixture.submit(id);
        if (row.newJobInBatch)
            fixture.submit(otherId);
        const auto before = store.commits;
        store.mode = row.firstAttempt;
        while (store.commits == before)
            fixture.context.run_one();
        if (row.loadedBetweenAttempts) {
            store.unreadableTable.clear();
            if (row.firstAttempt == memory_store::failure_mode::Rejects)
                store.mode = memory_store::failure_mode::CommitsUnresponsive;
            while (!fixture.endedJobsLoaded())
                fixture.context.run_one();
        }
        store.mode = memory_store::failure_mode::None;
        while (fixture.responses.size() < (row.newJobInBatch ? 2 : 1))
            fixture.context.run_one();
        for (const auto &[job, response] : fixture.responses)
            CHECK(response.status == 200);
        CHECK_FALSE(store.rows.contains({"jobs", id, {}}));
        CHECK(store.rows.contains({"jobs", otherId, {}}) == row.newJobInBatch);
        CHECK(store.rows.at(endedKey).value == jobs::stateName(job_state::Completed));
    }
}

TEST_CASE("A job that has ended is never stored as live, whatever the store does to writes")
{
    using enum memory_store::failure_mode;
    constexpr memory_store::failure_mode modes[] = {None, Rejects, LosesReplies,
                                                    CommitsUnresponsive};
    for (unsigned seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        leader_fixture fixture(true, {});
        auto &store = fixture.store;
        std::set<row_key> ended {endedKey};
        store.onApplied = [&] {
            for (const auto &[key, value] : store.rows) {
                if (key.table == "ended")
                    ended.insert(key);
            }
            for (const auto &key : ended)
                CHECK_FALSE(store.rows.contains({"jobs", key.key, {}}));
        };
        const auto end = clock::now() + milliseconds(900);
        std::size_t submitted = 0;
        while (clock::now() < end) {
            store.mode = modes[random() % std::size(modes)];
            if (random() % 4 == 0)
                store.unreadableTable.clear();
            fixture.submit(random() % 2 == 0 ? id : otherId);
            ++submitted;
            fixture.context.run_for(milliseconds(random() % 60));
        }
        store.mode = None;
        store.unreadableTable.clear();
        fixture.context.run_for(milliseconds(700));
        CHECK(submitted > 0);
        CHECK_FALSE(store.rows.contains({"jobs", id, {}}));
    }
}

// Guards against rows of ended jobs that stay for ever, and against a loss of what they count.
TEST_CASE("The runs that an ended job leaves are counted, and their row is removed with them")
{
    struct row
    {
        const char *name;
        const char *remaining;
        int counted;
    };
    for (const auto &row :
         {row {"two runs on a worker that has left",
               R"({"workers":["w1"],"remaining":[[0,0,4000,100,0,[[0,1,0],[2,1,0]]]]})", 2},
          row {"none", R"({"workers":[],"remaining":[]})", 0}}) {
        CAPTURE(std::string(row.name));
        leader_fixture fixture(false, row.remaining);
        CHECK(fixture.orphanRuns(row.counted));
        while (fixture.store.rows.contains(remainingKey))
            fixture.context.run_one();
        CHECK(fixture.orphanRuns(0));
    }
}

namespace {

struct configuration_wait
{
    const char *name;
    int requests;
};

const configuration_wait configurationWaits[] = {
    {"one request", 1},
    {"many requests", 100},
};

} // namespace

// Guards against a leader that spends its time on one read of the configuration for each request
// that another leader's configuration has reached first.
TEST_CASE("Requests that wait for a configuration share the reads of it")
{
    for (const auto &row : configurationWaits) {
        CAPTURE(std::string(row.name));
        leader_fixture fixture(false, {});
        const auto before = fixture.store.reads["op"];
        fixture.codec.configurationVersion = 2;
        for (int i = 0; i < row.requests; ++i) {
            auto job = std::to_string(i);
            job.insert(0, id.size() - job.size(), '0');
            fixture.submit(job, 2);
        }
        while (fixture.responses.size() < static_cast<std::size_t>(row.requests))
            fixture.context.run_one();
        for (const auto &[job, response] : fixture.responses)
            CHECK(response.status == 200);
        CHECK(fixture.store.reads["op"] - before == 1);
    }
}
