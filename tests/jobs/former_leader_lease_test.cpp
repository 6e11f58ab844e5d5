#include "jobs/capacity_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;

namespace {

const std::string id = "00000000000000a1";
const std::string fillerId = "00000000000000a2";

constexpr milliseconds settleTime {300};
constexpr milliseconds longRunTime {60'000};
// Ends while the worker is cut off.
constexpr milliseconds shortRunTime {6000};
// From the loss of a leader until the next one leads.
constexpr milliseconds electionTime {700};
// From the end of the last lease until the run is noticed, stored and started elsewhere.
constexpr milliseconds restartTime {1000};

struct split_row
{
    const char *name;
    bool lasting;
    milliseconds runTime;
    // How long the leader and a worker are cut off together.
    milliseconds span;
    std::int64_t clockRatePerMille;
    // The next leader is cut off with the worker that it has started the task on.
    bool twice;
};

constexpr split_row rows[] = {
    {"a task that lasts", true, longRunTime, milliseconds(12'000), 1000, false},
    {"an ordinary task", false, longRunTime, milliseconds(12'000), 1000, false},
    {"an ordinary task that ends meanwhile", false, shortRunTime, milliseconds(12'000), 1000,
     false},
    {"a task that lasts, on a worker with a slow clock", true, longRunTime, milliseconds(12'000),
     980, false},
    {"an ordinary task, for long", false, longRunTime, milliseconds(30'000), 1000, false},
    {"an ordinary task, for long, on a worker with a slow clock", false, longRunTime,
     milliseconds(30'000), 980, false},
    {"an ordinary task, by two leaders in turn", false, longRunTime, milliseconds(30'000), 1000,
     true},
};

std::string workerOf(capacity_world &world, int workers)
{
    for (int i = 0; i < workers; ++i) {
        const auto name = "w" + std::to_string(i);
        if (!world.worker(name).active.empty())
            return name;
    }
    return {};
}

struct first_report_row
{
    const char *name;
    // The former leader is suspended between a report and the renewal that it computes by it.
    milliseconds readingAge;
    std::int64_t clockRatePerMille;
};

constexpr first_report_row firstReports[] = {
    {"by a recent reading", milliseconds(1000), 1000},
    {"by an old reading", milliseconds(2300), 1000},
    {"by a recent reading of a slow clock", milliseconds(1000), 980},
    {"by an old reading of a slow clock", milliseconds(2300), 980},
};

} // namespace

// Guards against a second run of a task beside one whose lease a former leader still renews.
TEST_CASE("A task of a worker that is cut off with its leader starts elsewhere after its leases")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        capacity_options options;
        options.workers = 4;
        capacity_world world {options};
        for (int i = 0; i < options.workers; ++i)
            world.worker("w" + std::to_string(i)).clockRatePerMille = row.clockRatePerMille;
        world.advance(settleTime);
        jobs::step_definition step;
        step.tasks = 1;
        step.demand = {4'000, 1'000, 0};
        // The model's workers report no progress.
        step.estimate = row.runTime * 4;
        step.longRunning = row.lasting;
        world.submit(id, {step}, row.runTime);
        world.advance(settleTime);
        REQUIRE(world.running(id) == 1);
        for (std::uint64_t splits = 1; splits <= (row.twice ? 2 : 1); ++splits) {
            const auto starts = world.starts();
            const auto cutOff = workerOf(world, options.workers);
            world.splitOff(cutOff, electionTime, row.span);
            const auto latest =
                world.now() + electionTime + jobs::defaultPreviousLeaderLease + restartTime;
            while (world.starts() == starts && world.now() < latest)
                world.step();
            // An end that the next leader takes note of later counts only if the lease has not
            // lapsed since.
            CHECK(world.worker(cutOff).leaseEnded(world.now()));
            CHECK(world.violation() == "");
            CHECK(world.takeovers() == splits);
            CHECK(world.starts() == starts + 1);
            CHECK(world.running(id) == 1);
        }
        world.advance(row.span);
        CHECK(world.violation() == "");
        CHECK(world.running(id) == (row.runTime == longRunTime ? 1 : 0));
    }
}

// Guards against a second run of a task beside one whose lease a former leader has renewed on an
// incarnation that the present leader had not heard of.
TEST_CASE("A lease that a former leader grants to the next incarnation of a worker is counted")
{
    for (const auto &row : firstReports) {
        CAPTURE(std::string(row.name));
        capacity_options options;
        options.workers = 2;
        options.messageTime = milliseconds(0);
        options.storeTime = milliseconds(0);
        capacity_world world {options};
        constexpr std::uint64_t former = 1;
        constexpr std::uint64_t present = 2;
        for (const auto *name : {"w0", "w1"})
            world.worker(name).clockRatePerMille = row.clockRatePerMille;
        world.advance(settleTime);
        jobs::step_definition whole;
        whole.tasks = 1;
        whole.demand = {16'000, 1'000, 0};
        whole.estimate = longRunTime * 4;
        world.submit(fillerId, {whole}, longRunTime);
        world.advance(settleTime);
        REQUIRE(world.running(fillerId) == 1);
        const std::string restarted = workerOf(world, options.workers) == "w0" ? "w1" : "w0";
        auto &worker = world.worker(restarted);
        // The next leader hears of the first incarnation.
        world.hold(restarted, former);
        world.replaceUnnoticed(milliseconds(50), longRunTime);
        world.advance(milliseconds(100));
        REQUIRE(world.takeovers() == 1);
        // The former one hears of the next incarnation first, and renews its lease.
        world.hold(restarted, present);
        world.crash(worker, milliseconds(5));
        world.advance(milliseconds(50));
        world.letThrough(restarted, former);
        world.suspendRenewals(former, row.readingAge);
        const auto latest = world.now() + row.readingAge * 2;
        while (worker.leaseEnded(world.now()) && world.now() < latest)
            world.step();
        REQUIRE_FALSE(worker.leaseEnded(world.now()));
        // The present leader hears of it then, starts a run there, and the worker is cut off.
        world.letThrough(restarted, present);
        world.submit(id, {whole}, longRunTime);
        while (world.running(id) == 0 && world.now() < latest)
            world.step();
        REQUIRE(world.running(id) == 1);
        world.cut(restarted, longRunTime);
        world.cancel(fillerId);
        world.advance(jobs::defaultPreviousLeaderLease);
        CHECK(world.violation() == "");
        CHECK(world.running(id) == 1);
        CHECK(world.takeovers() == 1);
    }
}
