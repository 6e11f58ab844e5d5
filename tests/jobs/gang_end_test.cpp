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
// From a report of a worker to its next renewal. Each value gives another order of the reports.
constexpr milliseconds shortestInterval {5};
constexpr milliseconds longestInterval {150};
// A renewal without a reply is repeated within this time.
constexpr milliseconds reconnectTime {2'000};
jobs::step_definition step(std::uint32_t tasks, std::int64_t milliCores)
{
    jobs::step_definition created;
    created.tasks = tasks;
    created.demand = {milliCores, 1'000, 0};
    created.estimate = milliseconds(1000);
    return created;
}

struct gang_row
{
    const char *name;
    milliseconds later;
};

constexpr gang_row gangs[] = {
    {"all members end at once", milliseconds(0)},
    {"the others end later", milliseconds(300)},
};

} // namespace

// Guards against starts beside members of a gang whose own workers have not listed their end.
TEST_CASE("The end of one member of a gang does not free the capacity of the others")
{
    for (const auto &row : gangs) {
        for (auto interval = shortestInterval; interval <= longestInterval;
             interval += capacity_world::stepTime) {
            CAPTURE(std::string(row.name));
            CAPTURE(interval.count());
            capacity_options options;
            options.workers = 2;
            options.renewalInterval = interval;
            capacity_world world {options};
            // From now on the workers report at different times.
            world.cut("w1", settleTime);
            world.advance(reconnectTime);
            auto gang = step(2, 16'000);
            gang.gang = true;
            world.submit(first, {gang}, longRunTime);
            world.advance(settleTime);
            REQUIRE(world.running(first) == 2);
            world.submit(second, {step(2, 16'000)}, longRunTime);
            world.endGang(first, jobs::run_outcome::Done, row.later);
            world.advance(settleTime + row.later + interval);
            CHECK(world.violation() == "");
            CHECK(world.running(second) == 2);
            CHECK(world.scheduler().state(first) == jobs::job_state::Completed);
        }
    }
}
