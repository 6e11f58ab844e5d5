#include "jobs/capacity_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;
using plantaingap::tests::stopping_report;

namespace {

constexpr int jobCount = 20;
constexpr std::uint32_t tasksPerJob = 40;
constexpr std::uint32_t taskCount = jobCount * tasksPerJob;
constexpr milliseconds runTime {3000};
constexpr milliseconds startTime {1500};
constexpr milliseconds outage {4500};
constexpr milliseconds gap {3000};
constexpr milliseconds settleTime {3000};

std::string identifier(int number)
{
    const auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

struct ends_row
{
    const char *name;
    stopping_report stopping;
    milliseconds storeTime;
    void (*disturb)(capacity_world &world);
    std::uint64_t done;
};

void stopStore(capacity_world &world)
{
    world.stopStore(outage);
}

void changeLeader(capacity_world &world)
{
    world.kill(gap);
}

void cancelAllWithoutStore(capacity_world &world)
{
    world.stopStore(outage);
    for (int i = 1; i <= jobCount; ++i)
        world.cancel(identifier(i));
}

constexpr milliseconds quickStore {10};
// A few writes take longer than the stop after which a missing run is taken for gone.
constexpr milliseconds slowStore {400};

constexpr ends_row rows[] = {
    {"nothing else happens", stopping_report::Active, quickStore, nullptr, jobCount},
    {"the store is away as they end", stopping_report::Active, quickStore, stopStore, jobCount},
    {"the store is away as they end, runs that end are in neither list for a time",
     stopping_report::Unlisted, quickStore, stopStore, jobCount},
    {"the next leader adopts them, with a slow store", stopping_report::Active, slowStore,
     changeLeader, jobCount},
    {"they are stopped while the store is away", stopping_report::Active, quickStore,
     cancelAllWithoutStore, 0},
};

} // namespace

// Guards against runs that are taken for lost because a report cannot list all ends at once.
TEST_CASE("Of more runs than a report can list that end on one worker none is started again")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        capacity_options options;
        options.stopping = row.stopping;
        options.storeTime = row.storeTime;
        capacity_world world {options};
        world.advance(milliseconds(200));
        jobs::step_definition step;
        step.tasks = tasksPerJob;
        step.demand = {10, 8, 0};
        // The model's workers report no progress.
        step.estimate = runTime * 4;
        for (int i = 1; i <= jobCount; ++i)
            world.submit(identifier(i), {step}, runTime);
        world.advance(startTime);
        REQUIRE(world.running() == taskCount);
        if (row.disturb)
            row.disturb(world);
        world.advance(runTime + outage + settleTime);
        CHECK(world.violation() == "");
        CHECK(world.starts() == taskCount);
        CHECK(world.running() == 0);
        CHECK(world.done() == row.done);
    }
}
