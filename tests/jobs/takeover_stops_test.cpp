#include "jobs/capacity_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;

namespace {

const std::string first = "00000000000000a1";
const std::string second = "00000000000000a2";

constexpr milliseconds longRunTime {60'000};
constexpr milliseconds settleTime {200};
// A stop takes 400 ms, the rest is for renewals, the store and the start.
constexpr milliseconds stopAndStartTime {600};

jobs::step_definition step(std::uint32_t tasks, std::int64_t milliCores)
{
    jobs::step_definition created;
    created.tasks = tasks;
    created.demand = {milliCores, 1'000, 0};
    created.estimate = milliseconds(1000);
    return created;
}

struct takeover_row
{
    const char *name;
    bool resigns;
    // From the cancelling to the end of the term, and to the next one.
    milliseconds endsAfter;
    milliseconds gap;
};

constexpr takeover_row takeovers[] = {
    {"the leader resigns while the runs are being stopped", true, milliseconds(50),
     milliseconds(20)},
    {"the leader is killed while the runs are being stopped", false, milliseconds(50),
     milliseconds(20)},
    {"the leader is killed before it has stopped the runs", false, milliseconds(15),
     milliseconds(20)},
};

} // namespace

// Guards against starts beside runs of an ended job that a previous leader was stopping.
TEST_CASE("A new leader does not start work beside runs of an ended job that are being stopped")
{
    for (const auto &row : takeovers) {
        CAPTURE(std::string(row.name));
        capacity_world world {capacity_options {}};
        world.advance(settleTime);
        world.submit(first, {step(4, 4'000)}, longRunTime);
        world.advance(settleTime);
        REQUIRE(world.running(first) == 4);
        world.cancel(first);
        world.advance(row.endsAfter);
        if (row.resigns)
            world.resign(row.gap);
        else
            world.kill(row.gap);
        world.advance(row.gap + capacity_world::stepTime * 2);
        REQUIRE(world.takeovers() == 1);
        REQUIRE(world.running(first) == 4);
        world.submit(second, {step(2, 8'000)}, longRunTime);
        world.advance(stopAndStartTime);
        CHECK(world.violation() == "");
        CHECK(world.running(first) == 0);
        CHECK(world.running(second) == 2);
    }
}
