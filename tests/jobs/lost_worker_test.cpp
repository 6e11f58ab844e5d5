#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

// How a worker with a running task is lost, and what follows.
struct loss_row
{
    const char *name;
    void (*lose)(scheduler_world &world, const std::string &worker);
    // When the task must not run elsewhere yet, and when it must.
    milliseconds notBefore;
    milliseconds atLast;
};

void cut(scheduler_world &world, const std::string &worker)
{
    world.fleet[worker].reachable = false;
}

void leave(scheduler_world &world, const std::string &worker)
{
    world.fleet[worker].reachable = false;
    world.fleet[worker].listed = false;
    world.fleet[worker].active.clear();
    world.list();
}

void restart(scheduler_world &world, const std::string &worker)
{
    auto &at = world.fleet[worker];
    at.incarnationMs += 1000;
    at.active.clear();
    at.ended.clear();
    at.lastNumber = 0;
    at.leaseEndMs = 0;
}

const loss_row rows[] = {
    {"a worker that is cut off keeps its task until its lease has ended", cut, milliseconds(4000),
     milliseconds(7500)},
    {"a worker that left the list is waited for no longer than its lease", leave, milliseconds(0),
     milliseconds(7500)},
    {"a worker that began a new life has lost its task", restart, milliseconds(0),
     milliseconds(1500)},
};

std::string workerOf(const scheduler_world &world, const std::string &task)
{
    for (const auto &[id, at] : world.fleet) {
        if (at.active.contains(task))
            return id;
    }
    return {};
}

} // namespace

TEST_CASE("A task of a lost worker runs again, and never twice")
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
        world.advance(row.atLast - row.notBefore);
        CHECK(world.starts == startsBefore + 1);
        CHECK(world.scheduler.job(id)->occupying == 1);
    }
}
