#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string id = "00000000000000c1";
constexpr int workers = 4;

// How a job with a reservation is removed.
struct removal_row
{
    const char *name;
    // The job is not sent to the store before it is removed.
    bool unstored;
    void (*remove)(scheduler_world &world);
};

const removal_row rows[] = {
    {"it is cancelled", false,
     [](scheduler_world &world) {
         world.scheduler.cancel(id, world.now());
         world.settle();
     }},
    {"it was never sent to the store", true,
     [](scheduler_world &world) { REQUIRE(world.scheduler.discardUnstored(id)); }},
};

std::size_t reservations(scheduler_world &world)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(world.scheduler.workers().all(), [](const auto &entry) {
            return entry.second->reservedFor != nullptr;
        }));
}

} // namespace

// Guards against a reservation for a removed step, which a new step at its address would inherit:
// decisions then depended on the addresses of the allocator.
TEST_CASE("A removed job leaves no reservation")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(workers);
        world.begin();
        world.submit("00000000000000d1", "middle", {scheduler_world::step(2, 16'000, 500)});
        world.settle();
        REQUIRE(world.running() == 2);
        world.store = !row.unstored;
        auto gang = scheduler_world::step(workers, 16'000, 1000);
        gang.gang = true;
        world.submit(id, "large", {gang});
        world.settle();
        REQUIRE(reservations(world) > 0);
        row.remove(world);
        REQUIRE(world.scheduler.job(id) == nullptr);
        CHECK(reservations(world) == 0);
    }
}
