#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

std::string identifier(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

} // namespace

// Load: a worker that reports itself healthy fails all of its tasks.
TEST_CASE("A worker that fails all tasks is quarantined, and jobs succeed on the others")
{
    scheduler_world world(4);
    world.begin();
    int failedJobs = 0;
    for (int i = 0; i < 60; ++i) {
        const auto id = identifier(i);
        world.submit(id, "quick", {scheduler_world::step(1, 4000)});
        world.settle();
        for (int attempt = 0; attempt < 3; ++attempt) {
            for (auto &[name, worker] : world.fleet) {
                while (!worker.active.empty()) {
                    world.end(name, worker.active.begin()->first,
                              name == "w0" ? run_outcome::Failed : run_outcome::Done);
                }
            }
            world.elapsed += milliseconds(100);
            world.renewAllLeases();
            world.settle();
        }
        failedJobs += world.scheduler.state(id) == job_state::Failed ? 1 : 0;
    }
    CHECK(failedJobs == 0);
    CHECK(world.scheduler.workers().find("w0")->health.quarantined());
    for (const auto *good : {"w1", "w2", "w3"})
        CHECK_FALSE(world.scheduler.workers().find(good)->health.quarantined());
}

// Load: a worker accepts tasks that make no progress.
TEST_CASE("A run without progress is stopped on its worker and restarted elsewhere")
{
    scheduler_world world(2);
    world.begin();
    world.submit(identifier(1), "quick", {scheduler_world::step(1, 4000)});
    world.settle();
    REQUIRE(world.running() == 1);
    const auto firstStarts = world.starts;
    // The fake workers report the same progress all the time.
    world.percent = 30;
    world.advance(milliseconds(4000));
    CHECK(world.stops >= 1);
    CHECK(world.starts > firstStarts);
    CHECK(world.running() == 1);
    CHECK(world.startedTwice.empty());
}

// Load: a worker with many runs at work fails all of them at once.
TEST_CASE("Runs that fail together are no failed probes of a quarantined worker")
{
    scheduler_world world(1);
    world.begin();
    for (int i = 0; i < 8; ++i)
        world.submit(identifier(i), "quick", {scheduler_world::step(1, 2000)});
    world.settle();
    REQUIRE(world.running() == 8);
    world.endRuns("", run_outcome::Failed);
    world.renewAllLeases();
    const auto &health = world.scheduler.workers().find("w0")->health;
    REQUIRE(health.quarantined());
    // The interval before the first probe.
    CHECK(health.probeAt() - world.now() == std::chrono::seconds(1));
}
