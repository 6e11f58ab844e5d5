#include "jobs/capacity_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;

namespace {

const std::string id = "00000000000000a1";

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
