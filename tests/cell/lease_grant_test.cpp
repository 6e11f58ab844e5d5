#include "cell/memory_ports.h"
#include "support/boot_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <vector>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::support::bootNow;
using plantaingap::tests::memory_store;
using plantaingap::tests::milliseconds;

namespace {

namespace asio = boost::asio;

const row_key leaderKey {"cell", "leader", {}};

constexpr milliseconds previousLeaderLease {600};
constexpr milliseconds answerTime {5};

std::int64_t toMs(time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

// A worker that answers each renewal, on the leader's clock. Keeps the lease ends that it is sent.
class granting_workers final : public worker_gateway
{
public:
    explicit granting_workers(asio::io_context &context)
        : m_context(context)
    { }

    awaitable<order_reply> start(jobs::start_order order, time_point) override
    {
        leaseEnds.push_back(order.leaseEndMs);
        co_return order_reply {order_status::Accepted, toMs(bootNow())};
    }
    awaitable<order_reply> stop(jobs::stop_order, time_point) override { co_return order_reply {}; }
    awaitable<order_reply> throttle(jobs::throttle_order, time_point) override
    {
        co_return order_reply {};
    }
    awaitable<outcome<jobs::worker_report>> renewLease(jobs::lease_renewal order,
                                                       time_point) override
    {
        if (order.leaseEndMs)
            leaseEnds.push_back(*order.leaseEndMs);
        asio::steady_timer timer(m_context, answerTime);
        co_await timer.async_wait(asio::use_awaitable);
        jobs::worker_report report;
        report.clockMs = toMs(bootNow());
        report.incarnationMs = 1;
        co_return report;
    }
    void closeConnections(const std::string &) override { }

    std::vector<std::int64_t> leaseEnds;

private:
    asio::io_context &m_context;
};

// As fixed_codec, with each worker entry parsed as the same worker.
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
        return jobs::worker_entry {id,    "10.0.0.2:7000",     "dc",          "service",
                                   false, {16'000, 32'768, 0}, {"a", "r1-1"}, 1};
    }

private:
    tests::fixed_codec m_codec;
};

struct grant_row
{
    const char *name;
    // When the claim was sent, before the term starts.
    milliseconds claimAge;
    // Leases are granted at all.
    bool grants;
};

constexpr grant_row rows[] = {
    {"the claim is new", milliseconds(0), true},
    {"the leader learns late that its claim was committed", previousLeaderLease, false},
};

} // namespace

// Guards against leases that outlive the time for which the next leader waits for them.
TEST_CASE("A leader whose writes get no reply grants no lease beyond the wait of the next leader")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        asio::io_context context {1};
        memory_store store {context};
        granting_workers workers {context};
        tests::unresponsive_advisor advisor;
        worker_codec codec;
        peer_transport peers {context, {}};
        const cell_ports ports {store, workers, advisor, codec, {{"op", "config", {}}, "servers"},
                                peers};
        const leader_row claim {"one", "10.0.0.1:7000", 1, 0, false};
        transaction first;
        first.puts.emplace_back(leaderKey, encodeLeaderRow(claim));
        first.puts.emplace_back(row_key {"op", "config", {}}, "any");
        first.puts.emplace_back(row_key {"servers", "w0", {}}, "any");
        const auto revision = store.apply(first).revision;
        store.mode = memory_store::failure_mode::CommitsUnresponsive;
        leader_options options;
        options.instance = "one";
        options.scheduler.previousLeaderLease = previousLeaderLease;
        const auto claimSentAt = bootNow() - row.claimAge;
        const auto leading =
            std::make_shared<leader>(context, ports, options, claim, revision, claimSentAt);
        asio::co_spawn(context, leading->run(), asio::detached);
        const auto until = bootNow() + previousLeaderLease * 2;
        while (bootNow() < until)
            context.run_one();
        CHECK(leading->ready());
        CHECK(workers.leaseEnds.empty() == !row.grants);
        for (const auto end : workers.leaseEnds)
            CHECK(end <= toMs(claimSentAt + previousLeaderLease));
    }
}
