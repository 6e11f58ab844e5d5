#include "jobs/scheduler_world.h"
#include "jobs/take_over.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::takeOver;

namespace {

const std::string id = "00000000000000b1";

struct takeover_row
{
    const char *name;
    bool gang;
    std::uint32_t tasks;
    // How the first leader's runs end, and whether that was reported and stored before the
    // takeover.
    run_outcome outcome;
    bool reported;
    bool stored;
    // Expected number of runs under the next leader before any further run ends, and of failures
    // counted for the first task.
    std::size_t runningAfter;
    std::size_t failures;
};

const takeover_row rows[] = {
    {"active runs are taken over", false, 2, run_outcome::Stopped, false, false, 2, 0},
    {"an unreported failure counts once", false, 1, run_outcome::Failed, false, false, 1, 1},
    {"a stored failure that is reported again counts once", false, 1, run_outcome::Failed, true,
     true, 1, 1},
    {"a reported failure that was not stored counts once", false, 1, run_outcome::Failed, true,
     false, 1, 1},
    {"a failure of a gang that is reported again counts once", true, 2, run_outcome::Failed, true,
     true, 2, 1},
    {"a finished task is not run again", false, 1, run_outcome::Done, false, false, 0, 0},
};

} // namespace

TEST_CASE("A new leader continues a job from stored rows and worker reports")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        auto step = scheduler_world::step(row.tasks, 4000);
        step.gang = row.gang;
        world.submit(id, "quick", {step});
        world.settle();
        world.renewAllLeases();
        REQUIRE(world.running(id) == row.tasks);
        if (row.outcome != run_outcome::Stopped) {
            // The worker keeps its completions because it is never notified that they are stored.
            world.endRuns(id + ".0.0.0", row.outcome);
            if (row.gang)
                world.endRuns(id, run_outcome::GangMemberEnded);
            if (row.reported)
                world.renewAllLeases();
            world.store = row.stored;
            if (row.stored) {
                for (const auto &change : world.scheduler.takeChanges(100))
                    world.record(change);
            }
        }
        scheduler_world next;
        takeOver(world, next);
        next.renewAllLeases();
        next.settle();
        CHECK(next.running(id) == row.runningAfter);
        CHECK(next.startedTwice.empty());
        const auto *job = next.scheduler.job(id);
        if (row.outcome == run_outcome::Done) {
            CHECK(next.finished[id] == job_state::Completed);
            continue;
        }
        REQUIRE(job);
        CHECK(job->state <= job_state::Running);
        CHECK(job->occurrences.at(0).steps[0].tasks[0].failedAttempts.size() == row.failures);
    }
}

TEST_CASE("A job fails when a task reaches the attempt limit of its queue, and not before")
{
    scheduler_world world;
    world.begin();
    world.submit(id, "quick", {scheduler_world::step(1, 4000)});
    world.settle();
    for (std::uint32_t attempt = 1; attempt <= scheduler_world::attempts; ++attempt) {
        CHECK(world.scheduler.state(id) <= job_state::Running);
        REQUIRE(world.endRuns(id, run_outcome::Failed) == 1);
        world.renewAllLeases();
        world.settle();
    }
    CHECK(world.scheduler.state(id) == job_state::Failed);
    CHECK(world.running() == 0);
}

TEST_CASE("A job that ended in an earlier term is not run again, whenever its end is loaded")
{
    struct row
    {
        const char *name;
        bool knownFirst;
    };
    for (const auto &row : {row {"loaded before it is submitted again", true},
                            row {"loaded after it was submitted again", false}}) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        if (row.knownFirst)
            world.scheduler.recordEnded(id, job_state::Completed, world.now());
        world.submit(id, "quick", {scheduler_world::step(1, 4000)});
        if (!row.knownFirst)
            world.scheduler.recordEnded(id, job_state::Completed, world.now());
        world.settle();
        CHECK(world.starts == 0);
        CHECK(world.scheduler.state(id) == job_state::Completed);
    }
}

TEST_CASE("A job that is stored as live beside its end is stopped and ended")
{
    scheduler_world world;
    world.begin();
    world.submit(id, "quick", {scheduler_world::step(2, 4000)});
    world.settle();
    REQUIRE(world.running(id) == 2);
    world.scheduler.recordEnded(id, job_state::Completed, world.now());
    world.advance(milliseconds(1000));
    CHECK(world.running(id) == 0);
    CHECK(world.starts == 2);
    CHECK(world.scheduler.state(id) == job_state::Completed);
    CHECK(world.finished.at(id) == job_state::Completed);
}
