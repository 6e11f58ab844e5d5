#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

std::string identifier(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

struct batch_row
{
    const char *name;
    // Brings 40 submitted jobs into the state that is stored.
    void (*prepare)(scheduler_world &world);
    std::size_t maxEntries;
    std::size_t jobsInBatch;
};

// Keeps the store from taking changes until the test does.
void submitOnly(scheduler_world &world)
{
    world.store = false;
}

void run(scheduler_world &world)
{
    world.settle();
    world.store = false;
    world.endRuns({}, jobs::run_outcome::Failed);
    world.advance(milliseconds(500));
}

void complete(scheduler_world &world)
{
    world.settle();
    world.store = false;
    world.endRuns({}, jobs::run_outcome::Done);
    world.advance(milliseconds(500));
}

const batch_row batches[] = {
    {"new jobs", submitOnly, 98, 40},
    {"running jobs take one entry each", run, 40, 40},
    {"completed jobs take three entries each", complete, 98, 32},
};

} // namespace

// Load: a store that takes half a second for each write, and a hundred entries in one.
TEST_CASE("A write holds as many changes as its entries allow")
{
    for (const auto &row : batches) {
        CAPTURE(std::string(row.name));
        scheduler_world world(10);
        world.begin();
        for (int i = 0; i < 40; ++i)
            world.submit(identifier(i), "quick", {scheduler_world::step(1, 1000)});
        row.prepare(world);
        CHECK(world.scheduler.takeChanges(row.maxEntries).size() == row.jobsInBatch);
    }
}
