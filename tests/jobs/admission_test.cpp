#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::submit_status;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

std::string identifier(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

// Many jobs of one kind come within two seconds, each a task of half a worker.
struct burst_row
{
    const char *name;
    const char *queue;
    int jobs;
    // At least and at most so many are refused.
    int fewestRefused;
    int mostRefused;
};

// Four workers of 16 cores end eight such tasks of 1 s each second. An objective is 2 x 1 s and
// 0.6 s more; a late answer has some use until three times that.
const burst_row bursts[] = {
    {"what the fleet can do is accepted", "middle", 30, 0, 0},
    {"what would end too late to be of use is refused", "middle", 200, 100, 190},
    {"the same holds for quick jobs", "quick", 200, 100, 190},
};

} // namespace

// Load pattern: a burst far above what the fleet can do.
TEST_CASE("Jobs that cannot end in time to be of use are refused at once, with a time to return")
{
    for (const auto &row : bursts) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        int refused = 0;
        for (int i = 0; i < row.jobs; ++i) {
            const auto verdict =
                world.submit(identifier(i), row.queue, {scheduler_world::step(1, 8000, 1000)});
            if (verdict.status == submit_status::Refused) {
                ++refused;
                CHECK(verdict.retryAfterSeconds >= 1);
                CHECK(verdict.retryAfterSeconds <= 8);
            }
            world.settle();
            world.elapsed += milliseconds(10);
        }
        CHECK(refused >= row.fewestRefused);
        CHECK(refused <= row.mostRefused);
        // What was refused is not known, and never runs.
        world.advance(milliseconds(2000));
        std::size_t known = 0;
        for (int i = 0; i < row.jobs; ++i)
            known += world.scheduler.state(identifier(i)) ? 1 : 0;
        CHECK(known == static_cast<std::size_t>(row.jobs - refused));
        CHECK(world.running() <= known);
    }
}

// Load pattern: large jobs wait; quick ones must not be refused for their sake.
TEST_CASE("Quick jobs are accepted while larger ones wait")
{
    scheduler_world world;
    world.begin();
    for (int i = 0; i < 60; ++i)
        world.submit(identifier(i), "middle", {scheduler_world::step(1, 8000, 1000)});
    world.settle();
    const auto verdict =
        world.submit(identifier(900), "quick", {scheduler_world::step(1, 2000, 500)});
    CHECK(verdict.status == submit_status::AwaitingStore);
}

TEST_CASE("A job that no worker can ever hold is refused")
{
    scheduler_world world;
    world.begin();
    CHECK(world.submit(identifier(1), "quick", {scheduler_world::step(1, 17'000)}).status
          == submit_status::Refused);
    auto labelled = scheduler_world::step(1, 1000);
    labelled.label = "no-such-kind";
    CHECK(world.submit(identifier(2), "quick", {labelled}).status == submit_status::Refused);
}
