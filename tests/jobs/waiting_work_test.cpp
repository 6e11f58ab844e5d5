#include "jobs/gang_load_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::gangOf;
using plantaingap::tests::identifier;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::wholeWorkers;

namespace {

constexpr int submissions = 100;
// One of this many is a wide gang.
constexpr int wideInterval = 10;
constexpr int wideGang = 20;
// Workers that are enough for all wide gangs.
constexpr int workersForGangs = submissions / wideInterval * wideGang;

struct submission_row
{
    const char *name;
    int workers;
    int waitingJobs;
};

const submission_row rows[] = {
    {"few workers, few jobs", 367, 100},
    {"few workers, many jobs", 367, 1000},
    {"many workers, few jobs", 1100, 100},
    {"many workers, many jobs", 1100, 1000},
};

void restoreWaiting(scheduler_world &world, int number)
{
    jobs::recorded_job job;
    job.definition.id = identifier(number);
    job.definition.queue = "large";
    job.definition.payload = "payload";
    job.definition.steps = {scheduler_world::step(4, wholeWorkers.milliCores)};
    job.acceptedAt = world.wall();
    world.scheduler.restore(job, std::nullopt, world.now(), world.wall());
}

// What admission examines for submissions that come at the same moment.
jobs::admission_counts countSubmissions(const submission_row &row)
{
    scheduler_world world(row.workers);
    world.begin();
    for (int i = 0; i < row.waitingJobs; ++i)
        restoreWaiting(world, i + 1);
    const auto before = world.scheduler.admission();
    for (int i = 0; i < submissions; ++i) {
        auto step =
            i % wideInterval == 0 ? gangOf(wideGang, wholeWorkers) : scheduler_world::step(2, 4000);
        world.submit(identifier(100'000 + i), i % wideInterval == 0 ? "large" : "quick", {step});
    }
    auto counts = world.scheduler.admission();
    counts.submissions -= before.submissions;
    counts.rebuilds -= before.rebuilds;
    counts.stepsExamined -= before.stepsExamined;
    counts.workersExamined -= before.workersExamined;
    return counts;
}

} // namespace

// Guards against submissions that no leader answers because each walks all jobs and workers.
TEST_CASE("Submissions that come together share one walk over jobs and workers")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const auto counts = countSubmissions(row);
        CHECK(counts.submissions == submissions);
        CHECK(counts.rebuilds == 1);
        // Besides, each looks at the jobs accepted since that walk.
        CHECK(counts.stepsExamined
              <= static_cast<std::uint64_t>(row.waitingJobs + submissions * submissions));
        // Besides, a gang looks at workers until enough have room for it and for the gangs accepted
        // since that walk.
        CHECK(counts.workersExamined <= static_cast<std::uint64_t>(
                  row.workers + submissions / wideInterval * workersForGangs));
    }
}

namespace {

struct refresh_row
{
    const char *name;
    milliseconds passed;
    std::uint64_t rebuilds;
};

const refresh_row refreshRows[] = {
    {"soon after the last", milliseconds(10), 0},
    {"later", milliseconds(150), 1},
};

} // namespace

TEST_CASE("The sums of waiting work are made anew once they are old")
{
    for (const auto &row : refreshRows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(10);
        world.begin();
        world.submit(identifier(1), "large", {scheduler_world::step(1, 4000)});
        const auto before = world.scheduler.admission().rebuilds;
        world.elapsed += row.passed;
        world.submit(identifier(2), "large", {scheduler_world::step(1, 4000)});
        CHECK(world.scheduler.admission().rebuilds - before == row.rebuilds);
    }
}
