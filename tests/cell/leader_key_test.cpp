#include "cell/memory_ports.h"
#include "support/boot_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::jobs::digestOfKey;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const std::string jobA = "00000000000000a1";
const std::string jobB = "00000000000000b1";
const std::string endedJob = "00000000000000e1";
const std::string earlierJob = "00000000000000e2";
const row_key leaderKey {"cell", "leader", {}};
const row_key configurationKey {"op", "config", {}};

std::vector<jobs::workspace_definition> twoWorkspaces()
{
    return {{"a", {digestOfKey("key-a1"), digestOfKey("key-a2")}, 10, {}},
            {"b", {digestOfKey("key-b")}, 10, {}}};
}

struct key_fixture
{
    explicit key_fixture(std::vector<jobs::workspace_definition> workspaces,
                         milliseconds revocation = milliseconds(0))
    {
        codec.workspaces = std::move(workspaces);
        const leader_row row {"one", "10.0.0.1:7000", 1, 0, false};
        transaction first;
        first.puts.emplace_back(leaderKey, encodeLeaderRow(row));
        first.puts.emplace_back(configurationKey, "1");
        first.puts.emplace_back(row_key {"ended", endedJob, {}}, "completed a");
        first.puts.emplace_back(row_key {"ended", earlierJob, {}}, "completed");
        const auto revision = store.apply(first).revision;
        leader_options options;
        options.instance = "one";
        options.keyRevocation = revocation;
        options.scheduler.previousLeaderLease = milliseconds(50);
        leading =
            std::make_shared<leader>(context, ports, options, row, revision, support::bootNow());
        asio::co_spawn(context, leading->run(), asio::detached);
        while (!leading->ready())
            context.run_one();
    }

    // The operators store another configuration; the codec parses it as it is set now.
    void writeConfiguration(std::uint64_t version)
    {
        codec.configurationVersion = version;
        transaction change;
        change.puts.emplace_back(configurationKey, std::to_string(version));
        store.apply(change);
    }

    unsigned status(const std::string &method, const std::string &target,
                    const std::string &authorization)
    {
        caller_request request;
        request.method = method;
        request.host = "host";
        request.target = target;
        request.authorization = authorization;
        request.configurationVersion = codec.configurationVersion;
        request.deadline = clock::now() + std::chrono::seconds(30);
        std::optional<caller_response> response;
        asio::co_spawn(
            context,
            [&]() -> awaitable<void> {
                response = co_await leading->handleRequest(std::move(request));
            },
            asio::detached);
        while (!response)
            context.run_one();
        retryAfterSeconds = response->retryAfterSeconds;
        return response->status;
    }

    // Repeats a request until it gets that status.
    void awaitStatus(unsigned wanted, const std::string &authorization)
    {
        while (status("GET", "/q/", authorization) != wanted)
            context.run_one();
    }

    asio::io_context context {1};
    memory_store store {context};
    tests::unresponsive_workers workers;
    tests::unresponsive_advisor advisor;
    tests::fixed_codec codec;
    peer_transport peers {context, {}};
    cell_ports ports {store, workers, advisor, codec, {configurationKey, "servers"}, peers};
    std::shared_ptr<leader> leading;
    std::uint32_t retryAfterSeconds = 0;
};

struct request_row
{
    const char *name;
    const char *method;
    std::string target;
    const char *authorization;
    unsigned status;
};

} // namespace

TEST_CASE("Each request is checked for its key")
{
    key_fixture fixture(twoWorkspaces());
    while (fixture.leading->metrics().find(R"(ended_jobs_loaded{partition="0"} 1)")
           == std::string::npos)
        fixture.context.run_one();
    REQUIRE(fixture.status("POST", "/q/" + jobA, "Bearer key-a1") == 200);
    const request_row rows[] = {
        {"a submission without a key", "POST", "/q/" + jobB, "", 401},
        {"one with an unknown key", "POST", "/q/" + jobB, "Bearer key-c", 401},
        {"one with a key of another scheme", "POST", "/q/" + jobB, "Basic key-b", 401},
        {"the same job again with the workspace's other key", "POST", "/q/" + jobA, "Bearer key-a2",
         200},
        {"the same job again with an unknown key", "POST", "/q/" + jobA, "Bearer key-c", 401},
        {"a question for the state with the key", "GET", "/q/" + jobA, "Bearer key-a1", 200},
        {"without a key", "GET", "/q/" + jobA, "", 401},
        {"with the key of another workspace", "GET", "/q/" + jobA, "Bearer key-b", 403},
        {"a cancellation with the key of another workspace", "DELETE", "/q/" + jobA, "Bearer key-b",
         403},
        {"a cancellation without a key", "DELETE", "/q/" + jobA, "", 401},
        {"a question for the queue without a key", "GET", "/q/", "", 401},
        {"a question for the queue with a key", "GET", "/q/", "Bearer key-b", 200},
        {"an unknown queue", "GET", "/none/", "", 404},
        {"a job of an open queue without a key", "POST", "/open/" + jobB, "", 200},
        {"its state without a key", "GET", "/open/" + jobB, "", 200},
        {"a job of a closed queue by the path of an open one", "GET", "/open/" + jobA, "", 401},
        {"with the key of another workspace", "GET", "/open/" + jobA, "Bearer key-b", 403},
        {"its cancellation by that path", "DELETE", "/open/" + jobA, "", 401},
        {"its submission by that path", "POST", "/open/" + jobA, "", 401},
        {"its state by that path with its own key", "GET", "/open/" + jobA, "Bearer key-a1", 200},
        {"a scheme in other letters", "GET", "/q/" + jobA, "bearer key-a1", 200},
        {"the end of a job of an earlier term", "GET", "/q/" + endedJob, "Bearer key-a1", 200},
        {"with the key of another workspace", "GET", "/q/" + endedJob, "Bearer key-b", 403},
        {"its cancellation with the key of another workspace", "DELETE", "/q/" + endedJob,
         "Bearer key-b", 403},
        {"its submission again with the key of another workspace", "POST", "/q/" + endedJob,
         "Bearer key-b", 403},
        {"the end of a job that an earlier version stored", "GET", "/q/" + earlierJob,
         "Bearer key-b", 200},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        CHECK(fixture.status(row.method, row.target, row.authorization) == row.status);
    }
}

TEST_CASE("Without workspaces in the configuration no key is asked for")
{
    key_fixture fixture({}, milliseconds(40));
    fixture.store.mode = memory_store::failure_mode::Unresponsive;
    fixture.store.pollsFail = true;
    const auto tooOldAt = support::bootNow() + milliseconds(40);
    while (support::bootNow() < tooOldAt)
        fixture.context.run_one();
    CHECK(fixture.status("GET", "/q/", "") == 200);
}

// Guards against a leader that goes on with an old configuration: its watch is not answered any
// more, as on a dead connection, and the operators remove a key.
TEST_CASE("A revoked key is refused although the watch of the configuration is not answered")
{
    key_fixture fixture(twoWorkspaces(), milliseconds(400));
    CHECK(fixture.status("GET", "/q/", "Bearer key-a1") == 200);
    auto workspaces = twoWorkspaces();
    workspaces[0].keys.erase(workspaces[0].keys.begin());
    fixture.codec.workspaces = workspaces;
    fixture.store.pollsFail = true;
    transaction change;
    change.puts.emplace_back(configurationKey, "2");
    fixture.store.apply(change);
    fixture.awaitStatus(401, "Bearer key-a1");
    CHECK(fixture.status("GET", "/q/", "Bearer key-a2") == 200);
}

// Guards against keys, and against 401 or 404, by a configuration that the store has not confirmed.
TEST_CASE("While the store does not answer, requests with keys are refused as not run")
{
    key_fixture fixture(twoWorkspaces(), milliseconds(400));
    fixture.store.mode = memory_store::failure_mode::Unresponsive;
    fixture.store.pollsFail = true;
    fixture.awaitStatus(503, "Bearer key-a1");
    CHECK(fixture.retryAfterSeconds > 0);
    CHECK(fixture.status("GET", "/q/", "Bearer key-c") == 503);
    CHECK(fixture.status("GET", "/none/", "") == 503);
    CHECK(fixture.status("GET", "/open/", "") == 200);
    fixture.store.mode = memory_store::failure_mode::None;
    fixture.store.pollsFail = false;
    fixture.awaitStatus(200, "Bearer key-a1");
}

struct rejected_row
{
    const char *name;
    void (*change)(tests::fixed_codec &);
    // What the keys get once it has been read.
    unsigned keyA1;
    unsigned keyB;
};

TEST_CASE("A configuration with errors is not activated, and revokes the keys that it lacks")
{
    const rejected_row rows[] = {
        {"a key of two workspaces",
         [](tests::fixed_codec &codec) {
             codec.workspaces[1].keys.push_back(digestOfKey("key-a1"));
         },
         200, 200},
        {"a negative limit",
         [](tests::fixed_codec &codec) { codec.workspaces[0].limit.milliCores = -1; }, 200, 200},
        {"a workspace that cannot be read",
         [](tests::fixed_codec &codec) { codec.unreadable = {"workspace b"}; }, 200, 200},
        {"a limit out of range, and a key taken away",
         [](tests::fixed_codec &codec) {
             codec.workspaces[1].limit.memoryMib = std::int64_t {1} << 60;
             codec.workspaces[0].keys.erase(codec.workspaces[0].keys.begin());
         },
         401, 200},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        key_fixture fixture(twoWorkspaces(), milliseconds(200));
        row.change(fixture.codec);
        fixture.codec.workspaces.push_back({"new", {digestOfKey("key-new")}, 1, {}});
        fixture.store.pollsFail = true;
        const auto readsBefore = fixture.store.reads["op"];
        transaction change;
        change.puts.emplace_back(configurationKey, "2");
        fixture.store.apply(change);
        while (fixture.store.reads["op"] < readsBefore + 2)
            fixture.context.run_one();
        CHECK(fixture.status("GET", "/q/", "Bearer key-a1") == row.keyA1);
        CHECK(fixture.status("GET", "/q/", "Bearer key-b") == row.keyB);
        CHECK(fixture.status("GET", "/q/", "Bearer key-new") == 401);
    }
}

// Guards against an answer "not run" for a job that runs: 503 means that it was not accepted and
// never is.
TEST_CASE("A repeated submission of an accepted job is not told to have been refused")
{
    key_fixture fixture(twoWorkspaces(), milliseconds(400));
    while (fixture.leading->metrics().find(R"(ended_jobs_loaded{partition="0"} 1)")
           == std::string::npos)
        fixture.context.run_one();
    REQUIRE(fixture.status("POST", "/q/" + jobA, "Bearer key-a1") == 200);
    fixture.store.mode = memory_store::failure_mode::Unresponsive;
    fixture.store.pollsFail = true;
    fixture.awaitStatus(503, "Bearer key-a1");
    CHECK(fixture.status("POST", "/q/" + jobA, "Bearer key-a1") == 504);
    CHECK(fixture.status("POST", "/q/" + jobB, "Bearer key-a1") == 503);
}

// Guards against a cell without any configuration, because the one that is stored has an error and
// the new leader knows no earlier one.
TEST_CASE("A new leader uses the sound part of a configuration with errors")
{
    auto workspaces = twoWorkspaces();
    workspaces[0].limit.milliCores = -1;
    key_fixture fixture(workspaces);
    CHECK(fixture.status("GET", "/q/", "Bearer key-b") == 200);
    CHECK(fixture.status("GET", "/q/", "Bearer key-a1") == 401);
    CHECK(fixture.status("GET", "/open/", "") == 200);
}
