#include "adapter/http_worker.h"
#include "platform/gateways.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace plantaingap;
using namespace plantaingap::cell;
using plantaingap::tests::http_worker;

namespace {

namespace asio = boost::asio;

constexpr std::int64_t firstIncarnation = 1'700'000'000'000;
constexpr std::int64_t secondIncarnation = 1'700'000'009'000;
constexpr std::int64_t firstClockMs = 7'000'000;
constexpr std::int64_t secondClockMs = 400'000;
constexpr std::int64_t leaseEndMs = 7'005'000;
constexpr std::chrono::seconds callTimeout {5};
constexpr std::chrono::seconds testTimeout {20};
constexpr unsigned unavailable = 503;
constexpr unsigned conflict = 409;
constexpr unsigned misdirected = 421;

// Calls of the gateway to one worker, one after another.
struct gateway_fixture
{
    template<class Result>
    Result run(awaitable<Result> call)
    {
        std::optional<Result> result;
        asio::co_spawn(
            context, [&result, &call]() -> awaitable<void> { result = co_await std::move(call); },
            asio::detached);
        const auto until = clock::now() + testTimeout;
        while (!result && clock::now() < until)
            context.run_one();
        REQUIRE(result);
        return std::move(*result);
    }

    order_status start(std::int64_t incarnationMs)
    {
        jobs::start_order order;
        order.worker = address();
        order.task = "00000000000000f1.0.0.0";
        order.attempt = ++attempts;
        order.incarnationMs = incarnationMs;
        order.leaseEndMs = leaseEndMs;
        order.term = 1;
        return run(gateway.start(order, clock::now() + callTimeout)).status;
    }

    order_status stop()
    {
        jobs::stop_order order;
        order.worker = address();
        order.task = "00000000000000f2.0.0.0";
        order.attempt = 1;
        order.term = 1;
        return run(gateway.stop(order, clock::now() + callTimeout)).status;
    }

    outcome<jobs::worker_report> renew(std::int64_t incarnationMs)
    {
        jobs::lease_renewal renewal;
        renewal.worker = address();
        renewal.term = 1;
        renewal.incarnationMs = incarnationMs;
        renewal.leaseEndMs = leaseEndMs;
        renewal.lastStoredEnd = 7;
        return run(gateway.renewLease(renewal, clock::now() + callTimeout));
    }

    jobs::worker_address address() const { return {"w0", worker.address()}; }

    const tests::executed_order *lastOrder(std::string_view path) const
    {
        const tests::executed_order *found = nullptr;
        for (const auto &order : worker.executed()) {
            if (order.path == path)
                found = &order;
        }
        return found;
    }

    asio::io_context context {1};
    http_worker worker {context, firstIncarnation, firstClockMs};
    adapter::orders_gateway gateway {context, 100};
    std::uint32_t attempts = 0;
};

struct start_row
{
    const char *name;
    // Before the start: an earlier start to the first incarnation, a restart, a stop, a report.
    bool startedBefore;
    bool restarted;
    bool stoppedBefore;
    bool reportedBefore;
    unsigned renewalStatus;
    std::int64_t incarnationMs;
    order_status status;
};

constexpr start_row starts[] = {
    {"over a new connection", false, false, false, false, 200, firstIncarnation,
     order_status::Accepted},
    {"over a connection that is known", true, false, false, false, unavailable, firstIncarnation,
     order_status::Accepted},
    {"over a connection that a stop has opened", false, false, true, false, 200, firstIncarnation,
     order_status::Accepted},
    {"to the former incarnation over a new connection", false, true, false, false, 200,
     firstIncarnation, order_status::OtherIncarnation},
    {"to the former incarnation over a connection that a stop has opened", true, true, true, false,
     200, firstIncarnation, order_status::OtherIncarnation},
    {"to the new incarnation", true, true, true, false, 200, secondIncarnation,
     order_status::Accepted},
    {"to the new incarnation after its report, over no connection to the former one", true, true,
     false, true, 200, secondIncarnation, order_status::Accepted},
    {"to an incarnation that has not reported yet", false, false, false, false, 200,
     secondIncarnation, order_status::OtherIncarnation},
    {"while the worker gives no report", false, false, false, false, unavailable, firstIncarnation,
     order_status::WorkerUnhealthy},
    {"over a connection that breaks before the report", false, false, false, false, 0,
     firstIncarnation, order_status::NotSent},
    {"of a former term", false, false, false, false, conflict, firstIncarnation,
     order_status::StaleTerm},
    {"to a worker whose address another one has", false, false, false, false, misdirected,
     firstIncarnation, order_status::OtherIncarnation},
};

struct renewal_row
{
    const char *name;
    // Before the renewal: one that opens the connection, a restart.
    bool renewedBefore;
    bool restarted;
    std::int64_t incarnationMs;
    bool grants;
};

constexpr renewal_row renewals[] = {
    {"over a new connection", false, false, firstIncarnation, false},
    {"over a connection that is known", true, false, firstIncarnation, true},
    {"of another incarnation", true, false, secondIncarnation, false},
    {"of no known incarnation", true, false, 0, false},
    {"of the former incarnation after a restart", true, true, firstIncarnation, false},
};

} // namespace

// Guards against starts that another incarnation executes than the one whose clock ends the lease.
TEST_CASE("A start is sent only to the incarnation that it names")
{
    for (const auto &row : starts) {
        CAPTURE(std::string(row.name));
        gateway_fixture fixture;
        if (row.startedBefore)
            REQUIRE(fixture.start(firstIncarnation) == order_status::Accepted);
        const auto before = fixture.worker.executed().size();
        if (row.restarted)
            fixture.worker.restart(secondIncarnation, secondClockMs);
        if (row.stoppedBefore && fixture.stop() != order_status::Accepted)
            REQUIRE(fixture.stop() == order_status::Accepted);
        if (row.reportedBefore)
            fixture.renew(0);
        fixture.worker.answerRenewals(row.renewalStatus);
        CHECK(fixture.start(row.incarnationMs) == row.status);
        const auto &executed = fixture.worker.executed();
        const auto sent =
            std::count_if(executed.begin() + static_cast<std::ptrdiff_t>(before), executed.end(),
                          [](const auto &order) { return order.path == "/run-start"; });
        CHECK(sent == (row.status == order_status::Accepted ? 1 : 0));
        for (const auto &order : executed) {
            if (order.path == "/hold") {
                CHECK_FALSE(order.body.contains("due_ms"));
                CHECK(order.body.at("last_seen").to_number<std::int64_t>() == 0);
            }
        }
    }
}

// Guards against leases and acknowledged ends that reach another incarnation.
TEST_CASE("A renewal grants a lease and acknowledges ends only to the incarnation that it names")
{
    for (const auto &row : renewals) {
        CAPTURE(std::string(row.name));
        gateway_fixture fixture;
        if (row.renewedBefore)
            fixture.renew(0);
        if (row.restarted) {
            fixture.worker.restart(secondIncarnation, secondClockMs);
            // Over the connection that the restart has closed.
            fixture.renew(firstIncarnation);
        }
        const auto result = fixture.renew(row.incarnationMs);
        const auto *report = std::get_if<jobs::worker_report>(&result);
        REQUIRE(report);
        CHECK(report->incarnationMs == (row.restarted ? secondIncarnation : firstIncarnation));
        const auto *order = fixture.lastOrder("/hold");
        REQUIRE(order);
        CHECK(order->body.contains("due_ms") == row.grants);
        CHECK(order->body.at("last_seen").to_number<std::int64_t>() == (row.grants ? 7 : 0));
    }
}
