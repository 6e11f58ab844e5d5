#include "jobs/gang_load_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::gang_load_world;
using plantaingap::tests::gangLoads;
using plantaingap::tests::gangRunTime;
using plantaingap::tests::judged_starts;
using plantaingap::tests::milliseconds;
using plantaingap::tests::usefulSpan;

// Replays traffic above capacity, then none. Guards against accepted gangs that are not served
// while their results have a use (LOST on ctrs-sched-large).
TEST_CASE("Accepted gangs start in useful time under too much traffic")
{
    for (const auto &row : gangLoads) {
        CAPTURE(std::string(row.name));
        gang_load_world loaded(row);
        loaded.load(milliseconds(60'000));
        loaded.run(usefulSpan);
        judged_starts judged;
        judged.add(loaded.world.scheduler.takeEvents());
        CHECK(judged.gangs == loaded.accepted);
        CHECK(judged.longestWait <= (usefulSpan - gangRunTime).count());
    }
}
