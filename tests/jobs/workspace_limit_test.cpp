#include "jobs/scheduler_world.h"
#include "jobs/take_over.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string jobA = "00000000000000a1";
const std::string jobB = "00000000000000b1";
const std::string jobC = "00000000000000c1";

struct startable_row
{
    const char *name;
    resources limit;
    resources used;
    resources demand;
    std::uint32_t wanted;
    std::uint32_t expected;
    resources unavailable = {};
    std::optional<resources> ceiling = std::nullopt;
};

void setLimit(scheduler_world &world, resources limit, std::uint64_t version)
{
    auto configuration = world.scheduler.configuration();
    configuration.version = version;
    configuration.workspaces = {{"a", {}, 1000, limit}, {"b", {}, 1000, {}}};
    world.scheduler.configure(configuration);
}

jobs::submit_result submit(scheduler_world &world, const std::string &id,
                           const std::string &workspace, jobs::step_definition step)
{
    jobs::job_definition job;
    job.id = id;
    job.queue = "middle";
    job.workspace = workspace;
    job.steps = {std::move(step)};
    return world.scheduler.submit(std::move(job), world.now(), world.wall());
}

jobs::step_definition gangStep(std::uint32_t tasks, std::int64_t milliCores)
{
    auto step = scheduler_world::step(tasks, milliCores);
    step.gang = true;
    return step;
}

resources usedBy(const scheduler_world &world, const std::string &workspace)
{
    const auto *account = world.scheduler.accounts().find(workspace);
    return account ? account->used : resources {};
}

} // namespace

TEST_CASE("How many tasks the limit of a workspace lets start")
{
    const startable_row rows[] = {
        {"no limit", {}, {900, 900, 9}, {100, 100, 1}, 7, 7},
        {"room for some", {1000, 0, 0}, {500, 0, 0}, {200, 0, 0}, 7, 2},
        {"each resource counts", {1000, 300, 0}, {100, 100, 0}, {100, 100, 0}, 7, 2},
        {"one without a limit does not", {0, 300, 0}, {9000, 100, 0}, {5000, 100, 0}, 7, 2},
        {"at the limit", {1000, 0, 0}, {1000, 0, 0}, {1, 0, 0}, 7, 0},
        {"above a lowered limit", {1000, 0, 0}, {3000, 0, 0}, {1, 0, 0}, 7, 0},
        {"above it in a resource that the task does not need",
         {0, 0, 1},
         {0, 0, 2},
         {100, 0, 0},
         7,
         0},
        {"a task larger than the limit, alone", {1000, 0, 0}, {}, {5000, 100, 0}, 7, 1},
        {"beside another", {1000, 0, 0}, {100, 0, 0}, {5000, 100, 0}, 7, 0},
        {"room that others may use", {1000, 0, 0}, {500, 0, 0}, {200, 0, 0}, 7, 1, {300, 0, 0}},
        {"a part of the limit",
         {1000, 0, 0},
         {100, 0, 0},
         {200, 0, 0},
         7,
         2,
         {},
         resources {500, 0, 0}},
        {"a part that is exceeded in a resource that the task does not need",
         {1000, 0, 4},
         {100, 0, 2},
         {200, 0, 0},
         7,
         2,
         {},
         resources {500, 0, 1}},
        {"a task larger than the part, alone in this partition",
         {1000, 0, 0},
         {},
         {700, 0, 0},
         7,
         0,
         {},
         resources {500, 0, 0}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        jobs::workspace_account account;
        account.limit = row.limit;
        account.used = row.used;
        account.ceiling = row.ceiling;
        CHECK(account.startable(row.demand, row.wanted, row.unavailable) == row.expected);
    }
}

// Guards against a limit that holds in one step or job only.
TEST_CASE("A workspace runs no more than its limit, and others run beside it")
{
    scheduler_world world(4);
    setLimit(world, {8'000, 0, 0}, 2);
    world.begin();
    submit(world, jobA, "a", scheduler_world::step(6, 2'000));
    submit(world, jobB, "a", scheduler_world::step(6, 2'000));
    submit(world, jobC, "b", scheduler_world::step(20, 2'000));
    world.settle();
    CHECK(world.running(jobA) + world.running(jobB) == 4);
    CHECK(world.running(jobC) == 20);
    CHECK(usedBy(world, "a") == resources {8'000, 400, 0});
    world.endRuns(jobA, jobs::run_outcome::Done);
    world.advance(milliseconds(500));
    CHECK(world.running(jobA) + world.running(jobB) == 4);
    setLimit(world, {2'000, 0, 0}, 3);
    world.advance(milliseconds(500));
    CHECK(world.running(jobA) + world.running(jobB) == 4);
    world.endRuns("", jobs::run_outcome::Done);
    world.advance(milliseconds(500));
    CHECK(world.running(jobA) + world.running(jobB) == 1);
}

// Guards against a job that waits for ever because it can never start.
TEST_CASE("A gang larger than the limit of its workspace is refused, a single large task runs")
{
    scheduler_world world(4);
    setLimit(world, {8'000, 0, 0}, 2);
    world.begin();
    const auto refused = submit(world, jobA, "a", gangStep(5, 2'000));
    CHECK(refused.status == jobs::submit_status::Refused);
    CHECK(refused.reason.find("limit") != std::string_view::npos);
    CHECK(submit(world, jobB, "b", gangStep(5, 2'000)).status
          == jobs::submit_status::AwaitingStore);
    CHECK(submit(world, jobC, "a", scheduler_world::step(2, 12'000)).status
          == jobs::submit_status::AwaitingStore);
    world.settle();
    CHECK(world.running(jobB) == 5);
    CHECK(world.running(jobC) == 1);
}

// Guards against starts in a cell of several partitions before a ceiling is told, and against a
// raised one that is noticed late.
TEST_CASE("A partition starts tasks up to its ceiling and tells what it wants")
{
    jobs::scheduler_options options;
    options.partitions = 2;
    scheduler_world world(4, {16'000, 32'768, 0}, std::nullopt, options);
    setLimit(world, {8'000, 0, 0}, 2);
    world.begin();
    submit(world, jobA, "a", scheduler_world::step(40, 2'000));
    submit(world, jobB, "b", scheduler_world::step(1, 2'000));
    world.settle();
    CHECK(world.running(jobA) == 0);
    CHECK(world.running(jobB) == 1);
    // The workers have less free than the waiting tasks need.
    auto uses = world.scheduler.limitUses();
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].workspace == "a");
    CHECK(uses[0].used == resources {});
    CHECK(uses[0].wanted.milliCores == 62'000);
    CHECK(world.scheduler.setCeiling("a", {5'000, 0, 0}));
    CHECK_FALSE(world.scheduler.setCeiling("a", {5'000, 0, 0}));
    world.settle();
    CHECK(world.running(jobA) == 2);
    CHECK(world.scheduler.setCeiling("a", {8'000, 0, 0}));
    world.settle();
    CHECK(world.running(jobA) == 4);
    uses = world.scheduler.limitUses();
    CHECK(uses[0].used.milliCores == 8'000);
    CHECK(uses[0].wanted.milliCores == 62'000);
    // A lower ceiling stops nothing, and nothing starts until less is used.
    CHECK(world.scheduler.setCeiling("a", {2'000, 0, 0}));
    world.advance(milliseconds(500));
    CHECK(world.running(jobA) == 4);
    world.endRuns(jobA, jobs::run_outcome::Done);
    world.advance(milliseconds(500));
    CHECK(world.running(jobA) == 1);
}

// Guards against a gang that is overtaken for ever by small tasks of its own workspace.
TEST_CASE("A gang that waits for the limit keeps its room from younger steps of its workspace")
{
    scheduler_world world(4);
    setLimit(world, {8'000, 0, 0}, 2);
    world.begin();
    submit(world, jobA, "a", scheduler_world::step(2, 2'000));
    world.settle();
    REQUIRE(world.running(jobA) == 2);
    submit(world, jobB, "a", gangStep(4, 2'000));
    world.advance(milliseconds(4000));
    for (int i = 0; i < 6; ++i) {
        const auto id = "00000000000000d" + std::to_string(i);
        submit(world, id, "a", scheduler_world::step(1, 2'000));
    }
    world.settle();
    CHECK(world.running("00000000000000d") == 0);
    world.endRuns(jobA, jobs::run_outcome::Done);
    world.advance(milliseconds(500));
    CHECK(world.running(jobB) == 4);
}

// Guards against a new leader that counts from zero: the runs of live jobs, and those of a job that
// was cancelled while a worker did not answer.
TEST_CASE("A new leader counts what a workspace has running")
{
    scheduler_world world(4);
    setLimit(world, {8'000, 0, 0}, 2);
    world.begin();
    submit(world, jobA, "a", scheduler_world::step(1, 2'000));
    submit(world, jobB, "a", scheduler_world::step(2, 2'000));
    world.settle();
    REQUIRE(usedBy(world, "a").milliCores == 6'000);
    for (auto &[id, worker] : world.fleet)
        worker.reachable = false;
    world.renewAllLeases();
    world.scheduler.cancel(jobA, world.now());
    world.settle();
    scheduler_world next(0);
    setLimit(next, {8'000, 0, 0}, 2);
    for (const auto &[job, progress] : world.progress) {
        if (!world.definitions.contains(job))
            next.scheduler.restoreRemainingRuns(job, *jobs::decodeRemainingRuns(job, progress));
    }
    tests::takeOver(world, next);
    CHECK(usedBy(next, "a").milliCores == 6'000);
    submit(next, jobC, "a", scheduler_world::step(6, 2'000));
    next.settle();
    CHECK(next.running(jobC) <= 1);
}

// Guards against a start that was chosen before a limit was lowered and is sent after it.
TEST_CASE("A start that is being stored is withdrawn when the limit is lowered")
{
    scheduler_world world(4);
    setLimit(world, {8'000, 0, 0}, 2);
    world.begin();
    submit(world, jobA, "a", scheduler_world::step(4, 2'000));
    const auto orders = world.scheduler.plan(world.now(), world.wall());
    const auto batch = world.scheduler.takeChanges(100);
    setLimit(world, {4'000, 0, 0}, 3);
    CHECK(world.scheduler.onBatchStored(batch, world.now()).size() == 2);
    CHECK(usedBy(world, "a").milliCores == 4'000);
}
