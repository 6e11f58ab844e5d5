#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string gangId = "00000000000000c1";
const std::string wideLabel = "wide";
constexpr int workers = 24;
constexpr std::int64_t workerMilliCores = 16'000;
// Members of the gang; there are twice as many workers with the label.
constexpr std::uint32_t members = 6;
constexpr std::int64_t memberMilliCores = 15'000;
constexpr milliseconds runTime {4400};
constexpr milliseconds tick {100};
// Results have no value after three objectives of this gang.
constexpr milliseconds overdue {40'000};
// Once the gang is overdue, runs of this many durations may end and start before it.
constexpr int maxRunsBefore = 4;

struct overdue_row
{
    const char *name;
    // What is submitted in turn from the start on, and at what interval.
    std::uint32_t tasks;
    std::int64_t milliCores;
    bool gang;
    std::string label;
    milliseconds interval;
};

const overdue_row rows[] = {
    {"tasks refill the slots of a gang whose start is always far off", 1, 4000, false, "",
     milliseconds(100)},
    {"younger gangs hold the workers of a gang in turn", members, memberMilliCores, true, wideLabel,
     milliseconds(500)},
};

std::string jobId(int number)
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

// Load: an accepted gang whose room is free twice over never runs, while a fleet that is less than
// half in use starts other work (found on ctrs-sched-large as LOST).
TEST_CASE("An overdue gang runs while less than half of the fleet is in use")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(workers, {workerMilliCores, 131'072, 0});
        world.runTime = runTime;
        auto worker = world.fleet.begin();
        for (std::uint32_t i = 0; i < members * 2; ++i, ++worker)
            worker->second.entry.labels.push_back(wideLabel);
        world.begin();
        int submitted = 0;
        std::int64_t maxLoad = 0;
        std::size_t runningAt = 0;
        const auto run = [&](milliseconds span) {
            for (milliseconds passed {0}; passed < span && world.running(gangId) == 0;
                 passed += tick) {
                world.elapsed += tick;
                world.endDueRuns();
                if (world.elapsed / row.interval != (world.elapsed - tick) / row.interval) {
                    auto step = scheduler_world::step(row.tasks, row.milliCores,
                                                      static_cast<int>(runTime.count()));
                    step.gang = row.gang;
                    step.label = row.label;
                    world.submit(jobId(++submitted), "large", {step});
                }
                world.renewAllLeases();
                world.settle();
                if (world.running(gangId) > 0)
                    break;
                maxLoad = std::max(maxLoad, world.scheduler.workers().used().milliCores);
            }
            runningAt = world.running(gangId);
        };
        run(runTime * 2);
        auto gang =
            scheduler_world::step(members, memberMilliCores, static_cast<int>(runTime.count()));
        gang.gang = true;
        gang.label = wideLabel;
        world.submit(gangId, "large", {gang});
        run(overdue);
        if (runningAt == 0)
            run(runTime * maxRunsBefore);
        std::string why;
        for (const auto &line : world.scheduler.explain(gangId, world.now()))
            why += line;
        CHECK(maxLoad * 2 < workers * workerMilliCores);
        INFO(why);
        CHECK(runningAt == members);
    }
}
