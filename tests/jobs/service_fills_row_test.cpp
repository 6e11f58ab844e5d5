#include "jobs/scheduler_world.h"
#include "jobs/take_over.h"

#include <doctest/doctest.h>
#include <memory>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::takeOver;

namespace {

const std::string id = "00000000000000b1";

// What the digits of later attempt numbers add to the row.
constexpr std::size_t maxGrowthPerTask = 4;

struct service_row
{
    const char *name;
    bool gang;
    std::uint32_t tasks;
    // The number of failures after which another leader takes over; 0 for none.
    std::uint32_t takeoverAfter;
};

const service_row services[] = {
    {"one task", false, 1, 0},
    {"several tasks", false, 6, 0},
    {"a gang", true, 3, 0},
    {"several tasks, with another leader", false, 6, 40},
    {"a gang, with another leader", true, 3, 40},
};

// Lets all running tasks of the service fail, `rounds` times, and returns the number of failures.
int failRepeatedly(scheduler_world &world, const service_row &row, std::uint32_t rounds)
{
    int failures = 0;
    for (std::uint32_t i = 0; i < rounds; ++i) {
        if (row.gang) {
            failures += world.endRuns(id + ".0.0.0", run_outcome::Failed);
            world.endRuns(id, run_outcome::GangMemberEnded);
        } else {
            failures += world.endRuns(id, run_outcome::Failed);
        }
        world.advance(world.advanceStep);
    }
    return failures;
}

std::size_t rowBytes(const scheduler_world &world)
{
    return world.progress.at(id).size();
}

jobs::step_definition serviceStep(std::uint32_t tasks, bool gang)
{
    auto step = scheduler_world::step(tasks, 1000);
    step.longRunning = true;
    step.gang = gang;
    return step;
}

} // namespace

// Guards against a service whose tasks fail now and then until its row is too large for the store,
// which then refuses all writes of the partition.
TEST_CASE("The row of a service does not grow with the failures of its tasks")
{
    constexpr std::uint32_t firstRounds = 10;
    constexpr std::uint32_t rounds = 300;
    for (const auto &row : services) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        world.submit(id, "quick", {serviceStep(row.tasks, row.gang)});
        world.settle();
        REQUIRE(failRepeatedly(world, row, firstRounds) > 2);
        const auto limit = rowBytes(world) + row.tasks * maxGrowthPerTask;
        scheduler_world next;
        if (row.takeoverAfter > 0) {
            failRepeatedly(world, row, row.takeoverAfter - firstRounds);
            takeOver(world, next);
        }
        auto &last = row.takeoverAfter > 0 ? next : world;
        CHECK(failRepeatedly(last, row, rounds) > 100);
        CHECK(rowBytes(last) <= limit);
        const auto *job = last.scheduler.job(id);
        REQUIRE(job);
        CHECK(job->state == job_state::Running);
        CHECK(last.startedTwice.empty());
        const auto &step = job->occurrences.at(0).steps[0];
        CHECK(step.failedAttempts.size() <= 2);
        CHECK(step.failedOn.size() <= last.fleet.size());
        for (const auto &task : step.tasks)
            CHECK(task.failedAttempts.size() <= 2);
    }
}

TEST_CASE("A service's row that an earlier version filled with failures is read and shrinks")
{
    constexpr std::uint32_t failures = 5'000;
    constexpr std::size_t maxRowBytes = 200;
    std::string attempts;
    for (std::uint32_t attempt = 1; attempt <= failures; ++attempt)
        attempts += (attempts.empty() ? "" : ",") + std::to_string(attempt);
    for (const bool gang : {false, true}) {
        CAPTURE(gang);
        scheduler_world world;
        world.begin();
        world.submit(id, "quick", {serviceStep(1, gang)});
        world.settle();
        for (auto &[name, worker] : world.fleet)
            worker.active.clear();
        world.progress[id] = R"({"made":1,"done":0,"started":true,"workers":[],"incarnations":[],)"
                             R"("live":{"0":[{"g":[)"
                             + (gang ? attempts : "") + R"(],"t":[[5000,-1,[)" + attempts
                             + "]]]}]}}";
        scheduler_world next;
        takeOver(world, next);
        REQUIRE(next.running(id) == 1);
        const auto *job = next.scheduler.job(id);
        REQUIRE(job);
        CHECK(job->state == job_state::Running);
        CHECK(job->occurrences.at(0).steps[0].tasks[0].attempt == failures + 1);
        CHECK(rowBytes(next) < maxRowBytes);
    }
}

// Guards the limit of attempts against forgotten failures, and against ends that are told again.
TEST_CASE("Failures of a task that does not last are all counted, each once")
{
    struct limit_row
    {
        const char *name;
        bool gang;
        std::uint32_t attempts;
        bool takeover;
    };
    const limit_row rows[] = {
        {"a task", false, 5, false},
        {"a gang", true, 5, false},
        {"a task, a new leader after each failure", false, 5, true},
        {"a gang, a new leader after each failure", true, 5, true},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const auto configure = [&row](scheduler_world &world) {
            auto configuration = world.scheduler.configuration();
            ++configuration.version;
            for (auto &queue : configuration.queues)
                queue.attempts = row.attempts;
            world.scheduler.configure(std::move(configuration));
        };
        auto world = std::make_unique<scheduler_world>();
        configure(*world);
        world->begin();
        auto step = scheduler_world::step(2, 1000);
        step.gang = row.gang;
        world->submit(id, "quick", {step});
        world->settle();
        for (std::uint32_t attempt = 1; attempt <= row.attempts; ++attempt) {
            CAPTURE(attempt);
            REQUIRE(world->scheduler.state(id) <= job_state::Running);
            REQUIRE(world->endRuns(id + ".0.0.0", run_outcome::Failed) == 1);
            if (row.gang)
                world->endRuns(id, run_outcome::GangMemberEnded);
            world->advance(world->advanceStep);
            if (!row.takeover || attempt == row.attempts)
                continue;
            auto next = std::make_unique<scheduler_world>();
            configure(*next);
            takeOver(*world, *next);
            next->advance(next->advanceStep);
            world = std::move(next);
        }
        CHECK(world->scheduler.state(id) == job_state::Failed);
        CHECK(world->startsOf.at(id + ".0.0.0") == static_cast<int>(row.attempts));
        CHECK(world->running(id) == 0);
    }
}
