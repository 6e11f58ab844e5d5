#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

// How a worker with a running task is lost.
struct loss_row
{
    const char *name;
    void (*lose)(scheduler_world &world, const std::string &worker);
    // Times after the loss: the task must not start elsewhere before the first, and must have
    // started elsewhere by the second.
    milliseconds notBefore;
    milliseconds notAfter;
};

void disconnect(scheduler_world &world, const std::string &worker)
{
    world.fleet[worker].reachable = false;
}

void unregister(scheduler_world &world, const std::string &worker)
{
    world.fleet[worker].reachable = false;
    world.fleet[worker].listed = false;
    world.fleet[worker].active.clear();
    world.list();
}

void restart(scheduler_world &world, const std::string &worker)
{
    world.crash(worker);
}

const loss_row rows[] = {
    {"a disconnected worker keeps its task until its lease has expired", disconnect,
     milliseconds(4000), milliseconds(7500)},
    {"the task of an unlisted worker restarts at the latest when the lease expires", unregister,
     milliseconds(0), milliseconds(7500)},
    {"a restarted worker has lost its task", restart, milliseconds(0), milliseconds(1500)},
};

std::string workerOf(const scheduler_world &world, const std::string &task)
{
    for (const auto &[id, worker] : world.fleet) {
        if (worker.active.contains(task))
            return id;
    }
    return {};
}

} // namespace

TEST_CASE("A task of a lost worker is restarted exactly once")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        const std::string id = "00000000000000a1";
        world.submit(id, "quick", {scheduler_world::step(1, 4000)});
        world.settle();
        const auto first = workerOf(world, id + ".0.0.0");
        REQUIRE_FALSE(first.empty());
        const int startsBefore = world.starts;
        row.lose(world, first);
        if (row.notBefore.count() > 0) {
            world.advance(row.notBefore);
            CHECK(world.starts == startsBefore);
        }
        world.advance(row.notAfter - row.notBefore);
        CHECK(world.starts == startsBefore + 1);
        CHECK(world.scheduler.job(id)->occupying == 1);
    }
}
