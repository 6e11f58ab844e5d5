#include "jobs/size_figures.h"

#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_definition;
using plantaingap::jobs::run_outcome;
using plantaingap::jobs::size_band;
using plantaingap::jobs::size_figures;
using plantaingap::jobs::size_ranking;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string id = "00000000000000c1";
const std::string queue = "large";
constexpr std::int64_t workerMilliCores = 16'000;
constexpr int workers = 4;

const size_figures &figuresOf(const scheduler_world &world, size_band band)
{
    static const size_figures none;
    const auto &all = world.scheduler.sizes().figures();
    const auto found = all.find(queue);
    return found == all.end() ? none : found->second[static_cast<std::size_t>(band)];
}

} // namespace

TEST_CASE("A job is ranked by its size among the recent submissions")
{
    struct rank_row
    {
        const char *name;
        double coreSeconds;
        size_band band;
    };
    // Beside 99 jobs of 1 to 99 core-seconds.
    const rank_row rows[] = {
        {"the largest", 100, size_band::LargestTenth},
        {"the smallest of the largest tenth", 90.5, size_band::LargestTenth},
        {"the largest of the next fifth", 89.5, size_band::NextFifth},
        {"the smallest of the next fifth", 70.5, size_band::NextFifth},
        {"the largest of the rest", 69.5, size_band::Rest},
        {"the smallest", 0, size_band::Rest},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        size_ranking ranking;
        for (int i = 1; i < 100; ++i)
            ranking.place(std::to_string(i), i);
        const auto placed = ranking.place(id, row.coreSeconds);
        CHECK(placed.isNew);
        CHECK(placed.band == row.band);
        const auto again = ranking.place(id, row.coreSeconds);
        CHECK(!again.isNew);
        CHECK(again.band == row.band);
    }
}

TEST_CASE("Old submissions are forgotten")
{
    size_ranking ranking;
    for (std::size_t i = 0; i < size_ranking::capacity; ++i)
        ranking.place("large" + std::to_string(i), 1000);
    CHECK(ranking.place("first", 1).band == size_band::Rest);
    for (std::size_t i = 0; i < 3 * size_ranking::capacity; ++i)
        ranking.place("small" + std::to_string(i), 1);
    CHECK(ranking.remembered() == size_ranking::capacity);
    CHECK(ranking.place("last", 2).band == size_band::LargestTenth);
    CHECK(ranking.place("first", 1).isNew);
}

// The workers have 16 cores and 32,768 MiB.
TEST_CASE("The size of a job tells its tasks, the workers of its widest gang and its work")
{
    struct size_row
    {
        const char *name;
        std::uint32_t tasks;
        std::int64_t milliCores;
        std::uint32_t maxPerWorker;
        bool gang;
        std::uint32_t wholeWorkers;
        double coreSeconds;
    };
    const size_row rows[] = {
        {"single tasks", 7, 4000, 0, false, 0, 56},
        {"a gang, four to a worker", 7, 4000, 0, true, 2, 56},
        {"a gang, one to a worker", 3, 9000, 0, true, 3, 54},
        {"a gang that is kept apart", 7, 4000, 2, true, 4, 56},
        {"a gang that fits no worker", 2, 17'000, 0, true, 0, 68},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(workers, {workerMilliCores, 32'768, 0}, std::nullopt);
        world.begin();
        job_definition job;
        job.steps = {scheduler_world::step(row.tasks, row.milliCores, 2000)};
        job.steps.front().gang = row.gang;
        job.steps.front().maxPerWorker = row.maxPerWorker;
        const auto size = world.scheduler.sizeOf(job);
        CHECK(size.tasks == row.tasks);
        CHECK(size.wholeWorkers == row.wholeWorkers);
        CHECK(size.coreSeconds == doctest::Approx(row.coreSeconds));
    }
}

TEST_CASE("Each submission is counted once by its size and what becomes of it")
{
    struct outcome_row
    {
        const char *name;
        std::int64_t milliCores;
        int submissions;
        // Its tasks end so long after the submission; none for a job that is cancelled.
        std::optional<milliseconds> endsAfter;
        size_figures expected;
    };
    // The objective is 2.6 s.
    const outcome_row rows[] = {
        {"on time", 9000, 1, milliseconds(500), {1, 1, 0, 1, 0, 0}},
        {"submitted twice", 9000, 2, milliseconds(500), {1, 1, 0, 1, 0, 0}},
        {"late", 9000, 1, milliseconds(5000), {1, 1, 0, 0, 1, 0}},
        {"without value", 9000, 1, milliseconds(20'000), {1, 1, 0, 0, 0, 1}},
        {"cancelled", 9000, 1, std::nullopt, {1, 1, 0, 0, 0, 0}},
        {"refused", 17'000, 1, std::nullopt, {1, 0, 1, 0, 0, 0}},
        {"refused twice", 17'000, 2, std::nullopt, {1, 0, 2, 0, 0, 0}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(workers, {workerMilliCores, 32'768, 0}, std::nullopt);
        world.begin();
        for (int i = 0; i < row.submissions; ++i)
            world.submit(id, queue, {scheduler_world::step(1, row.milliCores, 1000)});
        world.settle();
        if (row.endsAfter) {
            world.advance(*row.endsAfter);
            world.endRuns(id, run_outcome::Done);
        } else {
            world.scheduler.cancel(id, world.now());
        }
        world.advance(milliseconds(1000));
        const auto &figures = figuresOf(world, size_band::LargestTenth);
        CHECK(figures.submitted == row.expected.submitted);
        CHECK(figures.accepted == row.expected.accepted);
        CHECK(figures.refused == row.expected.refused);
        CHECK(figures.onTime == row.expected.onTime);
        CHECK(figures.late == row.expected.late);
        CHECK(figures.withoutValue == row.expected.withoutValue);
        CHECK(figuresOf(world, size_band::NextFifth) == size_figures {});
        CHECK(figuresOf(world, size_band::Rest) == size_figures {});
    }
}
