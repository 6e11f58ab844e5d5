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
// Longer than all leases and stops.
constexpr milliseconds orderHold {30'000};

jobs::step_definition step(std::uint32_t tasks, std::int64_t milliCores, bool gang = false)
{
    jobs::step_definition created;
    created.tasks = tasks;
    created.demand = {milliCores, 1'000, 0};
    created.estimate = milliseconds(1000);
    created.gang = gang;
    return created;
}

struct unsent_row
{
    const char *name;
    bool gang;
    // Before the orders are held, and then.
    void (*prepare)(capacity_world &world);
    void (*lose)(capacity_world &world);
    // When nothing is counted for the first job any more at the latest.
    milliseconds releasedWithin;
};

void nothing(capacity_world & /*world*/) { }

// The worker carries starts out at this time, so late that it rejects them.
constexpr milliseconds farLater {20'000};
// The lease in a start, and what a worker takes longest to stop a run.
constexpr milliseconds longestStart {5'000};
constexpr milliseconds longestStop {900};
constexpr milliseconds reportTime {100};

const unsent_row rows[] = {
    {"runs at work that the worker loses without a word", false, nothing,
     [](capacity_world &world) {
         world.cancel(first);
         world.worker("w0").active.clear();
     },
     longestStop + reportTime},
    {"a gang of which the worker loses the members without a word", true, nothing,
     [](capacity_world &world) {
         world.cancel(first);
         world.worker("w0").active.clear();
     },
     longestStop + reportTime},
    {"runs of a worker that starts again", false, nothing,
     [](capacity_world &world) {
         world.cancel(first);
         world.crash(world.worker("w0"), milliseconds(50));
     },
     settleTime + reportTime},
    {"starts that nothing came of", false,
     [](capacity_world &world) {
         world.startDelay = [](const jobs::start_order &) { return farLater; };
     },
     [](capacity_world &world) { world.cancel(first); }, longestStart + longestStop + reportTime},
    {"runs that the worker lists as ended", false, nothing,
     [](capacity_world &world) {
         world.cancel(first);
         auto &worker = world.worker("w0");
         while (!worker.active.empty()) {
             const auto task = worker.active.begin()->first;
             worker.end(task, jobs::run_outcome::Done);
         }
     },
     reportTime},
};

} // namespace

// Guards against runs that hold their worker's capacity for ever because no stop of them can be
// sent, although reports show that they are gone (review/11).
TEST_CASE(
    "Reports alone release runs that are to be stopped, and others start once orders are sent")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        capacity_options options;
        options.workers = 1;
        capacity_world world {options};
        world.advance(settleTime);
        row.prepare(world);
        world.submit(first, {step(4, 4'000, row.gang)}, longRunTime);
        world.advance(settleTime);
        world.holdOrders("w0", orderHold);
        row.lose(world);
        world.advance(row.releasedWithin);
        CHECK(world.violation() == "");
        for (const auto &[id, worker] : world.scheduler().workers().all())
            CHECK(worker->used.milliCores == 0);
        world.startDelay = nullptr;
        world.submit(second, {step(1, 16'000)}, longRunTime);
        world.advance(settleTime);
        CHECK(world.running(second) == 0);
        world.holdOrders("w0", milliseconds(0));
        world.advance(milliseconds(1'000));
        CHECK(world.violation() == "");
        CHECK(world.running(second) == 1);
    }
}

// Guards against a worker that is taken for a failing one because starts could not be sent to it.
TEST_CASE("Starts that were not sent go to other workers and are no evidence against theirs")
{
    capacity_options options;
    options.workers = 2;
    capacity_world world {options};
    world.advance(settleTime);
    world.holdOrders("w0", orderHold);
    for (int i = 0; i < 8; ++i) {
        world.submit("00000000000000b" + std::to_string(i), {step(1, 2'000)}, longRunTime);
        world.advance(settleTime);
    }
    CHECK(world.running() == 8);
    CHECK_FALSE(world.scheduler().workers().find("w0")->health.quarantined());
}
