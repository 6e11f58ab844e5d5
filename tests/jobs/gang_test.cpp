#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string id = "00000000000000c1";
const std::string other = "00000000000000c2";

jobs::step_definition gangOf(std::uint32_t tasks, std::int64_t milliCores)
{
    auto step = scheduler_world::step(tasks, milliCores, 4000);
    step.gang = true;
    return step;
}

const jobs::advisor_cost advisorCost {std::chrono::microseconds(450'000),
                                      std::chrono::microseconds(6'400), milliseconds(1500)};

struct gang_row
{
    const char *name;
    std::uint32_t tasks;
    std::int64_t milliCores;
    // Workers of 16 cores that the advisor does not allow.
    std::set<std::string> notAllowed;
    std::size_t running;
};

const gang_row rows[] = {
    {"a gang that fits starts whole", 8, 8000, {}, 8},
    {"a gang that does not fit starts not at all", 9, 8000, {}, 0},
    {"a gang runs only where the advisor allows it", 4, 8000, {"w0", "w1"}, 4},
    {"a gang that the advisor leaves too little room waits", 5, 8000, {"w0", "w1"}, 0},
};

} // namespace

TEST_CASE("Gangs start whole or not at all")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
        world.notAllowed = row.notAllowed;
        world.begin();
        world.submit(id, "large", {gangOf(row.tasks, row.milliCores)});
        world.settle();
        CHECK(world.running(id) == row.running);
    }
}

// Load pattern: a busy fleet in which single tasks fill each hole as it appears.
TEST_CASE("Room is kept for a gang that waits, until it fits")
{
    scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
    world.begin();
    for (int i = 0; i < 8; ++i)
        world.submit("00000000000000d" + std::to_string(i), "middle",
                     {scheduler_world::step(1, 8000, 2000)});
    world.settle();
    REQUIRE(world.running() == 8);
    world.submit(id, "large", {gangOf(4, 8000)});
    for (int i = 0; i < 8; ++i)
        world.submit("00000000000000e" + std::to_string(i), "middle",
                     {scheduler_world::step(1, 8000, 2000)});
    world.settle();
    CHECK(world.running(id) == 0);
    // Holes appear one by one.
    for (int i = 0; i < 8 && world.running(id) == 0; ++i) {
        world.endRuns("00000000000000d" + std::to_string(i), run_outcome::Done);
        world.elapsed += milliseconds(200);
        world.renewAllLeases();
        world.settle();
    }
    CHECK(world.running(id) == 4);
}

TEST_CASE("A gang whose only allowed workers failed it is tried there again")
{
    scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
    world.notAllowed = {"w2", "w3"};
    world.begin();
    world.submit(id, "large", {gangOf(4, 8000)});
    world.settle();
    REQUIRE(world.running(id) == 4);
    world.endRuns(id + ".0.0.0", run_outcome::Failed);
    world.endRuns(id, run_outcome::GangMemberEnded);
    world.advance(milliseconds(1000));
    CHECK(world.running(id) == 4);
    CHECK(world.startedTwice.empty());
}

TEST_CASE("When one member cannot start, the others are stopped, and the gang starts anew")
{
    scheduler_world world(4);
    world.begin();
    world.submit(id, "large", {gangOf(8, 8000)});
    world.fleet["w3"].reachable = false;
    world.settle();
    world.advance(milliseconds(1000));
    CHECK(world.running(id) == 0);
    world.fleet["w3"].reachable = true;
    world.advance(milliseconds(1500));
    CHECK(world.running(id) == 8);
    std::set<std::uint32_t> attempts;
    for (const auto &[name, at] : world.fleet) {
        for (const auto &[task, run] : at.active)
            attempts.insert(run.attempt);
    }
    CHECK(attempts.size() == 1);
    CHECK(world.startedTwice.empty());
}

namespace {

// Four workers of two members each, all busy until single tasks of 2 s end.
void fillWithSingles(scheduler_world &world)
{
    world.begin();
    for (int i = 0; i < 8; ++i)
        world.submit("00000000000000d" + std::to_string(i), "middle",
                     {scheduler_world::step(1, 8000, 2000)});
    world.settle();
    REQUIRE(world.running() == 8);
}

struct kept_row
{
    const char *name;
    int memberMilliCores;
    int singleMilliCores;
    int singleMs;
    // Of four single tasks handed in when half of the fleet is free and the gang lacks the rest.
    std::size_t singles;
};

const kept_row kept[] = {
    {"no single task takes the room that a gang waits for", 8000, 8000, 2000, 0},
    {"short tasks use it while they end before the gang begins", 8000, 8000, 100, 4},
    {"room beyond what the gang needs is for anyone", 6000, 4000, 2000, 2},
};

} // namespace

// Load pattern: a full fleet whose tasks end one by one, and more single tasks than room.
TEST_CASE("Room is kept for the members of a gang that begins soon, and no more than that")
{
    for (const auto &row : kept) {
        CAPTURE(std::string(row.name));
        scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
        fillWithSingles(world);
        world.submit(id, "large", {gangOf(8, row.memberMilliCores)});
        // The others end in 800 ms, as expected.
        world.elapsed += milliseconds(1200);
        for (int i = 0; i < 4; ++i)
            world.endRuns("00000000000000d" + std::to_string(i), run_outcome::Done);
        world.renewAllLeases();
        world.settle();
        REQUIRE(world.running(id) == 0);
        for (int i = 0; i < 4; ++i)
            world.submit("00000000000000e" + std::to_string(i), "middle",
                         {scheduler_world::step(1, row.singleMilliCores, row.singleMs)});
        world.settle();
        CHECK(world.running("00000000000000e") == row.singles);
    }
}

TEST_CASE("No room is kept for a gang that would be late")
{
    scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
    fillWithSingles(world);
    world.submit(id, "large", {gangOf(8, 8000)});
    // Past any hope of its objective, and in company that can still be on time.
    world.elapsed += milliseconds(13'000);
    world.submit(other, "large", {gangOf(7, 8000)});
    for (int i = 0; i < 4; ++i)
        world.endRuns("00000000000000d" + std::to_string(i), run_outcome::Done);
    world.renewAllLeases();
    world.settle();
    std::size_t late = 0;
    for (const auto &[name, at] : world.scheduler.workers().all())
        late += at->reservedFor && at->reservedFor->occurrence->job->definition.id == id ? 1 : 0;
    CHECK(late == 0);
}

// Load pattern: gangs of tasks of which one in twenty fails, so that most gangs run twice.
TEST_CASE("A run that failed moves the dates of its job by what it took")
{
    scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
    world.begin();
    world.submit(id, "large", {gangOf(4, 8000)});
    world.settle();
    REQUIRE(world.running(id) == 4);
    const auto &step = world.scheduler.job(id)->occurrences.at(0).steps.front();
    const auto before = step.onTimeUntil;
    const auto lateBefore = step.lateUntil;
    world.elapsed += milliseconds(3000);
    world.endRuns(id + ".0.0.0", run_outcome::Failed);
    world.endRuns(id, run_outcome::GangMemberEnded);
    world.renewAllLeases();
    // The queue's stretch is two.
    CHECK(step.onTimeUntil - before == milliseconds(6000));
    CHECK(step.lateUntil - lateBefore == milliseconds(18'000));
}

// A gang that waits for two places a worker, of which one comes free late: that worker is a place
// and could be a spare one too.
TEST_CASE("A call for a gang's tickets names each worker once")
{
    scheduler_world world(4, {16'000, 32'768, 0}, advisorCost);
    fillWithSingles(world);
    world.submit(id, "large", {gangOf(5, 8000)});
    world.settle();
    for (int i = 0; i < 16; ++i) {
        world.elapsed += milliseconds(125);
        world.renewAllLeases();
        world.settle();
    }
    CHECK(world.workersNamed > 4);
    CHECK(world.duplicateNames == 0);
}
