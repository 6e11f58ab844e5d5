#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>
#include <iterator>

using namespace plantaingap;
using plantaingap::jobs::run_end_cause;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string id = "00000000000000c1";
constexpr std::size_t unbounded = 100;
constexpr milliseconds tick {500};
constexpr std::int64_t workerMilliCores = 16'000;

// A step that needs a whole worker.
jobs::step_definition wholeWorkerStep(std::uint32_t tasks, bool gang)
{
    auto step = scheduler_world::step(tasks, workerMilliCores, 500);
    step.gang = gang;
    return step;
}

const jobs::step_run &stepOf(const scheduler_world &world)
{
    return world.scheduler.job(id)->occurrences.begin()->second.steps.front();
}

// When the only worker responds, and when lines about a job that needs it are logged.
struct line_row
{
    const char *name;
    // The worker is unresponsive up to and after these times.
    milliseconds presentFrom;
    milliseconds presentUntil;
    std::vector<int> linesAtMs;
};

constexpr milliseconds never {100'000};

// The objective is 1.6 s, three objectives 4.8 s. A lease expires 5 s after its last renewal, with
// a margin for the drift of clocks.
const line_row lineRows[] = {
    {"a job that never starts", never, never, {2000, 5000, 10'000, 15'000}},
    {"a job at work", milliseconds(0), never, {}},
    {"a job that starts after its objective", milliseconds(3000), never, {2000}},
    {"a job whose run is lost beyond three objectives",
     milliseconds(1000),
     milliseconds(6000),
     {12'000, 15'000}},
};

} // namespace

// Guards against a job that waits for most of a day without a line about it.
TEST_CASE("A line is logged each time that a wait passes a bound")
{
    for (const auto &row : lineRows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(1);
        world.begin();
        world.fleet["w0"].reachable = row.presentFrom == milliseconds(0);
        world.renewAllLeases();
        REQUIRE(world.submit(id, "large", {wholeWorkerStep(1, false)}).status
                == jobs::submit_status::AwaitingStore);
        world.settle();
        std::vector<int> linesAtMs;
        while (world.elapsed < milliseconds(16'000)) {
            world.fleet["w0"].reachable =
                world.elapsed + tick >= row.presentFrom && world.elapsed + tick <= row.presentUntil;
            world.advance(tick);
            const auto lines = world.scheduler.observeWaits(unbounded, world.now());
            CHECK(lines.leftOut == 0);
            const auto at = std::chrono::duration_cast<milliseconds>(world.elapsed).count();
            for (std::size_t i = 0; i < lines.jobs.size(); ++i)
                linesAtMs.push_back(static_cast<int>(at));
        }
        CHECK(linesAtMs == row.linesAtMs);
    }
}

TEST_CASE("Lines that do not fit are counted and follow later")
{
    struct bound_row
    {
        const char *name;
        int jobs;
        std::size_t maxLines;
        // Of observations one after the other.
        std::vector<std::size_t> lines;
        std::vector<std::size_t> suppressed;
    };
    const bound_row rows[] = {
        {"all fit", 3, 4, {3, 0}, {0, 0}},
        {"the rest follows", 5, 2, {2, 2, 1, 0}, {3, 1, 0, 0}},
        {"no lines are wanted", 2, 0, {0, 0}, {2, 2}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(1);
        world.begin();
        world.fleet["w0"].reachable = false;
        world.renewAllLeases();
        for (int i = 0; i < row.jobs; ++i)
            world.submit("00000000000000d" + std::to_string(i), "large",
                         {scheduler_world::step(1, 1000, 500)});
        world.advance(milliseconds(3000));
        std::vector<std::size_t> lines;
        std::vector<std::size_t> suppressed;
        std::set<std::string> named;
        for (std::size_t i = 0; i < row.lines.size(); ++i) {
            const auto observed = world.scheduler.observeWaits(row.maxLines, world.now());
            lines.push_back(observed.jobs.size());
            suppressed.push_back(observed.leftOut);
            for (const auto &line : observed.jobs)
                CHECK(named.insert(line.job).second);
            world.elapsed += milliseconds(100);
        }
        CHECK(lines == row.lines);
        CHECK(suppressed == row.suppressed);
    }
}

namespace {

constexpr int workers = 2;
const std::string member0 = id + ".0.0.0";
const std::string member1 = id + ".0.0.1";

std::string workerOf(const scheduler_world &world, const std::string &task)
{
    for (const auto &[name, worker] : world.fleet) {
        if (worker.active.contains(task))
            return name;
    }
    return {};
}

void makeUnresponsive(scheduler_world &world, const std::string &worker)
{
    world.fleet[worker].reachable = false;
    world.renewLease(worker);
}

// How the run of a gang of two whole workers ends; afterwards one worker does not respond.
struct end_row
{
    const char *name;
    void (*end)(scheduler_world &world);
    run_end_cause cause;
    std::uint32_t attempt;
    std::uint32_t index;
    // Part of the line.
    std::string text;
};

void failSecond(scheduler_world &world)
{
    world.end(workerOf(world, member1), member1, run_outcome::Failed);
    world.end(workerOf(world, member0), member0, run_outcome::GangMemberEnded);
}

const end_row endRows[] = {
    {"it never started", [](scheduler_world &) {}, run_end_cause::NeverStarted, 0, 0,
     "last_end=never_started"},
    {"a member failed",
     [](scheduler_world &world) {
         world.settle();
         failSecond(world);
         world.renewAllLeases();
     },
     run_end_cause::Failed, 1, 1,
     "last_end=failed last_end_task=" + member1 + " last_end_attempt=1"},
    {"a member failed, and the end of the other one is reported first",
     [](scheduler_world &world) {
         world.settle();
         const auto failing = workerOf(world, member1);
         const auto other = workerOf(world, member0);
         failSecond(world);
         world.renewLease(other);
         world.renewLease(failing);
     },
     run_end_cause::Failed, 1, 1, "last_end=failed last_end_task=" + member1},
    {"the worker of a member was lost",
     [](scheduler_world &world) {
         world.settle();
         const auto lost = workerOf(world, member1);
         makeUnresponsive(world, lost);
         world.end(workerOf(world, member0), member0, run_outcome::GangMemberEnded);
         world.elapsed += milliseconds(8000);
         world.renewAllLeases();
         world.settle();
         makeUnresponsive(world, lost);
     },
     run_end_cause::Lost, 1, 1, "last_end=lost last_end_task=" + member1},
    {"a member did not start",
     [](scheduler_world &world) {
         world.fleet["w0"].reachable = false;
         world.settle();
         makeUnresponsive(world, "w0");
         world.elapsed += milliseconds(8000);
         world.renewAllLeases();
     },
     run_end_cause::NotStarted, 1, 0, "last_end=not_started last_end_task=" + member0},
};

} // namespace

TEST_CASE("The line about a gang that waits names what ended its last run")
{
    for (const auto &row : endRows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(workers);
        world.begin();
        REQUIRE(world.submit(id, "large", {wholeWorkerStep(workers, true)}).status
                == jobs::submit_status::AwaitingStore);
        row.end(world);
        const auto endedAt = world.now();
        makeUnresponsive(world, "w0");
        world.advance(milliseconds(4000));
        const auto lines = world.scheduler.observeWaits(unbounded, world.now());
        INFO(world.scheduler.explain(id, world.now()).front());
        REQUIRE(lines.jobs.size() == 1);
        const auto &why = lines.jobs.front().why;
        INFO(why);
        CHECK(why.find(row.text) != std::string::npos);
        CHECK(why.find(" waiting_ms=") != std::string::npos);
        const auto &wait = stepOf(world).wait;
        CHECK(wait.lastEnd == row.cause);
        CHECK(wait.endedAttempt == row.attempt);
        CHECK(wait.endedIndex == row.index);
        REQUIRE(wait.since);
        CHECK(*wait.since <= endedAt);
    }
}
