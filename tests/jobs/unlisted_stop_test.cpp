#include "jobs/capacity_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;
using plantaingap::tests::stopping_report;

namespace {

const std::string first = "00000000000000a1";
const std::string second = "00000000000000a2";

constexpr milliseconds longRunTime {60'000};
constexpr milliseconds settleTime {200};
// From the order of a stop until it is carried out on each worker.
constexpr milliseconds stopOrderTime {50};
constexpr milliseconds gap {20};
// An order without a response is given up within this time.
constexpr milliseconds unansweredTime {900};
// A leader stops a member of a done gang that is still reported after this time.
constexpr milliseconds doneGangTime {350};
constexpr milliseconds longestLease {8'500};
constexpr std::chrono::seconds probeInterval {1};

jobs::step_definition step(std::uint32_t tasks, std::int64_t milliCores, bool gang = false)
{
    jobs::step_definition created;
    created.tasks = tasks;
    created.demand = {milliCores, 1'000, 0};
    created.estimate = milliseconds(1000);
    created.gang = gang;
    return created;
}

void failFirstTask(capacity_world &world)
{
    world.worker("w0").end(first + ".0.0.0", jobs::run_outcome::Failed);
    world.advance(settleTime);
}

void stopMemberOfDoneGang(capacity_world &world)
{
    world.endGang(first, jobs::run_outcome::Done, longRunTime);
    world.advance(doneGangTime);
}

void setDraining(capacity_world &world, bool draining)
{
    auto &entry = world.worker("w0").entry;
    entry.draining = draining;
    world.shrink(world.worker("w0"), entry.capacity);
}

struct stop_row
{
    const char *name;
    std::vector<jobs::step_definition> steps;
    int workers;
    // Ends as many runs of the first job as are needed to start the second one.
    void (*stop)(capacity_world &world);
    // When all of the second job runs at the latest.
    milliseconds startsWithin;
};

const stop_row stops[] = {
    {"the runs of a cancelled job",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) { world.cancel(first); },
     milliseconds(700)},
    {"the runs beside one that fails for the last time",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         failFirstTask(world);
         failFirstTask(world);
     },
     milliseconds(700)},
    {"the other members of a gang as one fails",
     {step(2, 16'000, true)},
     2,
     [](capacity_world &world) {
         world.endGang(first, jobs::run_outcome::Failed, longRunTime);
         world.advance(stopOrderTime);
         world.cancel(first);
     },
     milliseconds(700)},
    {"the runs of a cancelled job on a worker that is listed as draining meanwhile",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cancel(first);
         setDraining(world, true);
         world.advance(stopOrderTime);
         setDraining(world, false);
     },
     milliseconds(700)},
    {"the runs of a cancelled job on a quarantined worker whose next probe is due",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cancel(first);
         auto &worker = *world.scheduler().workers().find("w0");
         worker.health.quarantine(world.now() - probeInterval);
     },
     milliseconds(700)},
    {"the last member of a done gang",
     {step(2, 16'000, true)},
     2,
     stopMemberOfDoneGang,
     milliseconds(700)},
    {"the runs of a cancelled job as the leader resigns",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cancel(first);
         world.advance(stopOrderTime);
         world.resign(gap);
         world.advance(gap + capacity_world::stepTime);
     },
     milliseconds(700)},
    {"the runs of a cancelled job as the leader is killed",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cancel(first);
         world.advance(stopOrderTime);
         world.kill(gap);
         world.advance(gap + capacity_world::stepTime);
     },
     milliseconds(700)},
    {"the runs of a cancelled job as two leaders are killed",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cancel(first);
         world.advance(stopOrderTime);
         for (int i = 0; i < 2; ++i) {
             world.kill(gap);
             world.advance(gap + capacity_world::stepTime);
         }
     },
     milliseconds(700)},
    {"the last member of a done gang as the leader is killed",
     {step(2, 16'000, true)},
     2,
     [](capacity_world &world) {
         stopMemberOfDoneGang(world);
         world.kill(gap);
         world.advance(gap + capacity_world::stepTime);
     },
     milliseconds(700)},
    {"the last member of a done gang of a job that goes on as the leader is killed",
     {step(2, 16'000, true), step(1, 16'000)},
     2,
     [](capacity_world &world) {
         stopMemberOfDoneGang(world);
         world.kill(gap);
         world.advance(gap + capacity_world::stepTime);
         world.cancel(first);
     },
     milliseconds(900)},
    {"the runs of a cancelled job on a worker that answers no more",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cut("w0", longestLease);
         world.cancel(first);
     },
     longestLease + unansweredTime},
    {"the runs of a cancelled job on a worker that starts again",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.cancel(first);
         world.advance(stopOrderTime);
         world.crash(world.worker("w0"), milliseconds(50));
     },
     milliseconds(700)},
    {"runs that a worker loses without a word",
     {step(4, 4'000)},
     1,
     [](capacity_world &world) {
         world.worker("w0").active.clear();
         world.cancel(first);
     },
     milliseconds(1'000)},
};

} // namespace

// Guards against starts beside runs that are missing from a report because they are being stopped.
TEST_CASE("Work starts only once runs that are being stopped are gone, listed or not, and then")
{
    for (const auto stopping : {stopping_report::Active, stopping_report::Unlisted}) {
        for (const auto &row : stops) {
            CAPTURE(std::string(row.name));
            CAPTURE(static_cast<int>(stopping));
            capacity_options options;
            options.workers = row.workers;
            options.stopping = stopping;
            capacity_world world {options};
            world.advance(settleTime);
            world.submit(first, row.steps, longRunTime);
            world.advance(settleTime);
            REQUIRE(world.running(first) == row.steps.front().tasks);
            row.stop(world);
            const auto workers = static_cast<std::uint32_t>(row.workers);
            world.submit(second, {step(workers, 16'000)}, longRunTime);
            world.advance(row.startsWithin);
            CHECK(world.violation() == "");
            CHECK(world.running(first) == 0);
            CHECK(world.running(second) == workers);
        }
    }
}
