#include "adapter/http_worker.h"
#include "cell/memory_ports.h"
#include "platform/gateways.h"
#include "support/boot_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <functional>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::http_worker;
using plantaingap::tests::memory_store;

namespace {

namespace asio = boost::asio;

const row_key leaderKey {"cell", "leader", {}};
const std::string workerId = "w0";

constexpr std::int64_t firstIncarnation = 1'700'000'000'000;
constexpr std::int64_t secondIncarnation = 1'700'000'009'000;
constexpr std::chrono::seconds testTimeout {20};

// As fixed_codec, with each worker entry parsed as one worker of an unknown incarnation, so that
// starts go to it as soon as it reports.
class worker_codec final : public platform_codec
{
public:
    std::optional<jobs::job_definition> parseSubmission(std::string_view body) const override
    {
        return m_codec.parseSubmission(body);
    }
    std::string formatState(jobs::job_state state) const override
    {
        return m_codec.formatState(state);
    }
    std::string formatWaitingJobs(std::size_t count) const override
    {
        return m_codec.formatWaitingJobs(count);
    }
    std::optional<jobs::cell_configuration>
    parseConfiguration(std::string_view value) const override
    {
        return m_codec.parseConfiguration(value);
    }
    std::optional<jobs::worker_entry> parseWorkerEntry(const std::string &id,
                                                       std::string_view) const override
    {
        return jobs::worker_entry {
            id, address, "dc", "service", false, {16'000, 32'768, 0}, {"a", "r1-1"}, 0};
    }

    std::string address;

private:
    tests::fixed_codec m_codec;
};

// A leader with one worker, over real connections.
struct worker_fixture
{
    explicit worker_fixture(std::int64_t clockMs)
        : worker(context, firstIncarnation, clockMs)
    {
        codec.address = worker.address();
        const leader_row claim {"one", "10.0.0.1:7000", 1, 0, false};
        transaction first;
        first.puts.emplace_back(leaderKey, encodeLeaderRow(claim));
        first.puts.emplace_back(row_key {"op", "config", {}}, "any");
        first.puts.emplace_back(row_key {"servers", workerId, {}}, "any");
        const auto revision = store.apply(first).revision;
        leader_options options;
        options.instance = "one";
        leading =
            std::make_shared<leader>(context, ports, options, claim, revision, support::bootNow());
        asio::co_spawn(context, leading->run(), asio::detached);
    }

    // Runs until the condition holds; false if it does not within testTimeout.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto until = clock::now() + testTimeout;
        while (!condition() && clock::now() < until)
            context.run_one();
        return condition();
    }

    // Submits a job of one task; returns once a condition on the worker holds.
    void submit(const std::string &job)
    {
        asio::co_spawn(
            context,
            [this, job]() -> awaitable<void> {
                caller_request request;
                request.method = "POST";
                request.host = "host";
                request.target = "/q/" + job;
                request.deadline = clock::now() + std::chrono::seconds(30);
                co_await leading->handleRequest(std::move(request));
            },
            asio::detached);
    }

    std::size_t orders(std::string_view path, std::int64_t incarnationMs) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(worker.executed(), [&](const auto &order) {
                return order.path == path && order.incarnationMs == incarnationMs;
            }));
    }

    asio::io_context context {1};
    http_worker worker;
    memory_store store {context};
    adapter::orders_gateway workers {context, 100};
    tests::unresponsive_advisor advisor;
    worker_codec codec;
    peer_transport peers {context, {}};
    cell_ports ports {store, workers, advisor, codec, {{"op", "config", {}}, "servers"}, peers};
    std::shared_ptr<leader> leading;
};

struct restart_row
{
    const char *name;
    std::int64_t firstClockMs;
    std::int64_t secondClockMs;
};

constexpr restart_row restarts[] = {
    {"its clock starts anew far behind", 7'000'000, 400'000},
    {"its clock starts anew a little behind", 7'000'000, 6'995'000},
    {"its clock starts anew ahead", 400'000, 7'000'000},
};

} // namespace

// Guards against leases by the clock of a former incarnation, which outlive the leader's count.
TEST_CASE("A worker that has restarted gets no lease end by the clock of its former incarnation")
{
    for (const auto &row : restarts) {
        CAPTURE(std::string(row.name));
        worker_fixture fixture {row.firstClockMs};
        auto &worker = fixture.worker;
        const auto started = [&](std::size_t count, std::int64_t incarnationMs) {
            return fixture.orders("/run-start", incarnationMs) >= count;
        };
        REQUIRE(fixture.runUntil([&] { return worker.openRenewals() > 0; }));
        fixture.submit("00000000000000f1");
        REQUIRE(fixture.runUntil([&] { return started(1, firstIncarnation); }));
        REQUIRE(fixture.runUntil([&] { return worker.openRenewals() > 0; }));
        // The renewal that it held open never gets a reply, so the leader learns of the restart
        // only from its orders, or later.
        worker.restart(secondIncarnation, row.secondClockMs);
        fixture.submit("00000000000000f2");
        REQUIRE(
            fixture.runUntil([&] { return fixture.orders("/run-stop", secondIncarnation) > 0; }));
        fixture.submit("00000000000000f3");
        REQUIRE(fixture.runUntil([&] { return started(1, secondIncarnation); }));
        const auto lease = jobs::scheduler_options {}.lease.count();
        for (const auto &order : worker.executed()) {
            if (const auto *leaseEnd = order.body.if_contains("due_ms"))
                CHECK(leaseEnd->to_number<std::int64_t>() <= order.clockMs + lease);
        }
    }
}
