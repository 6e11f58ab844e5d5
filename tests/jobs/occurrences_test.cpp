#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string id = "00000000000000a1";

jobs::submit_result submitRecurring(scheduler_world &world, std::uint32_t occurrences,
                                    wall_time firstDue, milliseconds interval)
{
    jobs::job_definition job;
    job.id = id;
    job.queue = "quick";
    job.steps = {scheduler_world::step(50, 10)};
    job.occurrences = occurrences;
    job.firstDue = firstDue;
    job.interval = interval;
    return world.scheduler.submit(std::move(job), world.now(), world.wall());
}

} // namespace

// Guards against one job that takes an instance's memory, and then that of each next leader.
TEST_CASE("A job whose occurrences are all overdue has a bounded number of live tasks")
{
    scheduler_world world;
    world.begin();
    submitRecurring(world, 10'000, wall_time {}, milliseconds(0));
    world.settle();
    std::size_t tasks = 0;
    for (const auto &[number, occurrence] : world.scheduler.job(id)->occurrences) {
        for (const auto &step : occurrence.steps)
            tasks += step.tasks.size();
    }
    CHECK(tasks > 0);
    CHECK(tasks <= 4'000);
}

TEST_CASE("A recurring job's record does not grow with the occurrences that are done")
{
    scheduler_world world;
    world.begin();
    submitRecurring(world, 40, world.wall(), milliseconds(1'000));
    std::size_t largest = 0;
    std::size_t firstSize = 0;
    for (int round = 0; round < 50 && !world.finished.contains(id); ++round) {
        world.advance(milliseconds(1'000));
        world.endRuns(id, run_outcome::Done);
        world.advance(milliseconds(500));
        if (!world.progress.contains(id))
            continue;
        largest = std::max(largest, world.progress.at(id).size());
        firstSize = firstSize == 0 ? largest : firstSize;
    }
    CHECK(world.finished[id] == job_state::Completed);
    CHECK(world.startedTwice.empty());
    CHECK(world.starts == 40 * 50);
    CHECK(largest <= 3 * firstSize);
}
