#include "jobs/admission.h"
#include "jobs/gang_load_world.h"
#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::submit_status;
using plantaingap::tests::gang_load_world;
using plantaingap::tests::gangLoads;
using plantaingap::tests::gangOf;
using plantaingap::tests::gangRunTime;
using plantaingap::tests::identifier;
using plantaingap::tests::judged_starts;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::usefulSpan;

namespace {

// Many jobs of one kind arrive within two seconds, each with one task of half a worker.
struct burst_row
{
    const char *name;
    const char *queue;
    int jobs;
    // Bounds for the number of refused jobs.
    int minRefused;
    int maxRefused;
};

// Four workers of 16 cores complete eight such tasks of 1 s per second. The objective is 2 x 1 s
// plus 0.6 s; a late result is useful until three times the objective.
const burst_row bursts[] = {
    {"jobs within the capacity of the fleet are accepted", "middle", 30, 0, 0},
    {"jobs that would finish too late to be useful are refused", "middle", 200, 100, 190},
    {"quick jobs that would finish too late are refused", "quick", 200, 100, 190},
};

} // namespace

// Load: a burst far above the capacity of the fleet.
TEST_CASE("Jobs that cannot finish in useful time are refused immediately with a retry delay")
{
    for (const auto &row : bursts) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        int refused = 0;
        for (int i = 0; i < row.jobs; ++i) {
            const auto submission =
                world.submit(identifier(i), row.queue, {scheduler_world::step(1, 8000, 1000)});
            if (submission.status == submit_status::Refused) {
                ++refused;
                CHECK(submission.retryAfterSeconds >= 1);
                CHECK(submission.retryAfterSeconds <= 8);
            }
            world.settle();
            world.elapsed += milliseconds(10);
        }
        CHECK(refused >= row.minRefused);
        CHECK(refused <= row.maxRefused);
        // Refused jobs are unknown and never run.
        world.advance(milliseconds(2000));
        std::size_t known = 0;
        for (int i = 0; i < row.jobs; ++i)
            known += world.scheduler.state(identifier(i)) ? 1 : 0;
        CHECK(known == static_cast<std::size_t>(row.jobs - refused));
        CHECK(world.running() <= known);
    }
}

// Load: large jobs wait; they must not cause quick jobs to be refused.
TEST_CASE("Quick jobs are accepted while larger ones wait")
{
    scheduler_world world;
    world.begin();
    for (int i = 0; i < 60; ++i)
        world.submit(identifier(i), "middle", {scheduler_world::step(1, 8000, 1000)});
    world.settle();
    const auto submission =
        world.submit(identifier(900), "quick", {scheduler_world::step(1, 2000, 500)});
    CHECK(submission.status == submit_status::AwaitingStore);
}

TEST_CASE("A job with a task that fits on no worker is refused")
{
    scheduler_world world;
    world.begin();
    CHECK(world.submit(identifier(1), "quick", {scheduler_world::step(1, 17'000)}).status
          == submit_status::Refused);
    auto labelled = scheduler_world::step(1, 1000);
    labelled.label = "no-such-kind";
    CHECK(world.submit(identifier(2), "quick", {labelled}).status == submit_status::Refused);
}

struct wide_gang_row
{
    const char *name;
    // Tasks of a whole worker each, on 60 workers of which the advisor allows 20.
    std::uint32_t tasks;
    double maxGangShare;
    submit_status status;
};

const wide_gang_row wideGangs[] = {
    {"a gang that fits the allowed workers is accepted", 8, 0.8, submit_status::AwaitingStore},
    {"a gang that is wider than the allowed workers is refused", 40, 0.8, submit_status::Refused},
    {"a gang that may be too wide is refused where the rest of the cell could hold it", 19, 0.8,
     submit_status::Refused},
    {"a gang that may be too wide is accepted where nothing else could hold it", 19, 1.2,
     submit_status::AwaitingStore},
    {"a gang that is wider than all workers is refused", 61, 1.2, submit_status::Refused},
};

// Load: gangs of up to 240 tasks in a partition whose policy allows a fraction of its workers. An
// accepted gang that never fits waits for ever beside idle workers (found on scale-1 of
// ctrs-sched-large, seed 139859104).
TEST_CASE("A gang that cannot fit the workers it is allowed is refused immediately")
{
    constexpr int workers = 60;
    const jobs::advisor_cost cost {std::chrono::microseconds(4'000), std::chrono::microseconds(10),
                                   milliseconds(1500)};
    for (const auto &row : wideGangs) {
        CAPTURE(std::string(row.name));
        jobs::scheduler_options options;
        options.maxGangShare = row.maxGangShare;
        scheduler_world world(workers, {16'000, 32'768, 0}, cost, options);
        for (int i = 0; i < workers; ++i) {
            if (i % 3 != 0)
                world.notAllowed.insert("w" + std::to_string(i));
        }
        world.begin();
        // Gangs from which the scheduler learns the share of allowed workers.
        auto gang = scheduler_world::step(4, 16'000, 200);
        gang.gang = true;
        for (int i = 0; i < 80; ++i) {
            world.submit(identifier(i), "large", {gang});
            world.settle();
            world.endRuns({}, jobs::run_outcome::Done);
            world.advance(milliseconds(500));
        }
        gang.tasks = row.tasks;
        const auto submission = world.submit(identifier(900), "large", {gang});
        CHECK(submission.status == row.status);
        if (row.status == submit_status::Refused)
            CHECK(submission.retryAfterSeconds == jobs::unsatisfiableRetrySeconds);
    }
}

// Load: wide gangs above what can run one after the other, for longer than their objective, so
// that most of those that wait are late. Guards against accepting gangs that can't be started in
// useful time (LOST on ctrs-sched-large).
TEST_CASE("A backlog of wide gangs stays within what can start in useful time")
{
    for (const auto &row : gangLoads) {
        CAPTURE(std::string(row.name));
        gang_load_world loaded(row);
        loaded.load(milliseconds(60'000));
        const auto rounds = usefulSpan / gangRunTime;
        CHECK(loaded.waitingGangs() <= static_cast<std::size_t>(rounds * row.sideBySide));
        // The fleet is kept at work.
        CHECK(loaded.accepted >= 60'000 / gangRunTime.count() * row.sideBySide);
    }
}

// What is submitted while that backlog waits.
struct beside_gangs_row
{
    const char *name;
    const char *queue;
    jobs::step_definition step;
    bool accepted;
};

const beside_gangs_row besideGangs[] = {
    {"a wide gang is refused", "large", gangOf(40, {16'000, 1000, 0}), false},
    {"a narrow gang is accepted", "large", gangOf(8, {16'000, 1000, 0}), true},
    {"a narrow quick step is accepted", "quick", scheduler_world::step(2, 2000, 500), true},
    {"a narrow step of lower priority is accepted", "middle", scheduler_world::step(4, 4000, 1000),
     true},
    {"a narrow quick gang is accepted", "quick", gangOf(2, {4000, 1000, 0}), true},
};

// Load: small steps beside a backlog of wide gangs, which they can overtake.
TEST_CASE("A backlog of wide gangs holds up other wide gangs only")
{
    for (const auto &row : besideGangs) {
        CAPTURE(std::string(row.name));
        gang_load_world loaded(gangLoads[0]);
        loaded.load(milliseconds(60'000));
        while (loaded.submitGang() != submit_status::Refused && loaded.accepted < 100)
            continue;
        const auto submission = loaded.world.submit(identifier(900), row.queue, {row.step});
        CHECK((submission.status != submit_status::Refused) == row.accepted);
        if (!row.accepted) {
            CHECK(submission.retryAfterSeconds >= 1);
            CHECK(submission.retryAfterSeconds <= 8);
            CHECK_FALSE(submission.fields.empty());
        }
    }
}

TEST_CASE("Wide gangs are accepted again once a backlog of them has gone")
{
    for (const auto &row : gangLoads) {
        CAPTURE(std::string(row.name));
        gang_load_world loaded(row);
        loaded.load(milliseconds(60'000));
        loaded.run(usefulSpan);
        CHECK(loaded.waitingGangs() == 0);
        CHECK(loaded.submitGang() == submit_status::AwaitingStore);
    }
}

// Gangs that are submitted to a fleet with room for them.
struct idle_fleet_row
{
    const char *name;
    int workers;
    jobs::step_definition step;
    // Share of the workers that are cut off, in percent.
    int percentLost;
};

const idle_fleet_row idleFleets[] = {
    {"a gang of all workers of an empty fleet", 12, gangOf(12, {16'000, 1000, 0}), 0},
    {"a gang by memory of all workers of an empty fleet", 12, gangOf(24, {1000, 16'000, 0}), 0},
    {"a gang of half of a fleet with most workers cut off", 12, gangOf(6, {16'000, 1000, 0}), 75},
};

TEST_CASE("A gang is accepted on an idle fleet")
{
    for (const auto &row : idleFleets) {
        CAPTURE(std::string(row.name));
        scheduler_world world(row.workers);
        world.begin();
        int number = 0;
        for (auto &[id, worker] : world.fleet)
            worker.reachable = 100 * number++ >= row.percentLost * row.workers;
        world.renewAllLeases();
        CHECK(world.submit(identifier(1), "large", {row.step}).status
              == submit_status::AwaitingStore);
    }
}

TEST_CASE("The predicted start of a gang is near its real start")
{
    for (const auto &row : gangLoads) {
        CAPTURE(std::string(row.name));
        gang_load_world loaded(row);
        judged_starts judged;
        // A burst that can be on time, so that gangs start in the order of their arrival.
        for (int i = 0; i < 2 * row.sideBySide; ++i)
            loaded.submitGang();
        for (milliseconds passed {0}; passed < usefulSpan; passed += loaded.world.advanceStep) {
            loaded.tick();
            judged.add(loaded.world.scheduler.takeEvents());
        }
        CHECK(judged.gangs == 2 * row.sideBySide);
        CHECK(judged.worstError <= gangRunTime.count());
    }
}

namespace {

// A gang is submitted while two wide ones have been waiting for that long.
struct waiting_gangs_row
{
    const char *name;
    milliseconds waited;
    std::uint32_t tasks;
};

constexpr std::uint32_t wideGang = 20;

const waiting_gangs_row waitingGangs[] = {
    {"a wide gang behind wide ones that have just come", milliseconds(1000), wideGang},
    {"a wide gang behind wide ones that should have started", milliseconds(15'000), wideGang},
    {"a narrow gang behind wide ones that should have started", milliseconds(15'000), 2},
};

} // namespace

// Guards against refusals of the largest jobs of a kind only (found on ctrs-sched-grown as SHORT),
// and against wide gangs that are accepted and then left without a run (LOST).
TEST_CASE("Gangs of any width are accepted behind waiting ones, and run once workers are allowed")
{
    for (const auto &row : waitingGangs) {
        CAPTURE(std::string(row.name));
        scheduler_world world(100, {16'000, 32'768, 0},
                              jobs::advisor_cost {std::chrono::microseconds(380'000),
                                                  std::chrono::microseconds(5500),
                                                  milliseconds(1500)});
        // The advisor allows no worker, so the wide gangs wait however idle the fleet is.
        for (const auto &[id, worker] : world.fleet)
            world.notAllowed.insert(id);
        world.begin();
        const auto submit = [&world](const std::string &id, std::uint32_t tasks) {
            auto gang = scheduler_world::step(tasks, 16'000, 3000);
            gang.gang = true;
            return world.submit(id, "large", {gang}).status;
        };
        REQUIRE(submit("00000000000000d1", wideGang) == submit_status::AwaitingStore);
        REQUIRE(submit("00000000000000d2", wideGang) == submit_status::AwaitingStore);
        world.advance(row.waited);
        REQUIRE(submit("00000000000000d3", row.tasks) == submit_status::AwaitingStore);
        // All workers are replaced, by workers that the advisor allows.
        world.notAllowed.clear();
        world.newIdAfterCrash = true;
        std::vector<std::string> replaced;
        for (const auto &[id, worker] : world.fleet)
            replaced.push_back(id);
        for (const auto &id : replaced)
            world.crashForAWhile(id);
        // Younger jobs for more than all workers come all the time.
        int younger = 0;
        for (milliseconds passed {0}; passed < usefulSpan; passed += world.advanceStep) {
            world.submit(identifier(++younger), "large", {scheduler_world::step(30, 16'000, 3000)});
            world.advance(world.advanceStep);
            world.endDueRuns();
        }
        for (const auto *id : {"00000000000000d1", "00000000000000d2", "00000000000000d3"}) {
            CAPTURE(std::string(id));
            CHECK(world.finished.contains(id));
        }
    }
}
