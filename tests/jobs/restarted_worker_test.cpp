#include "jobs/capacity_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;

namespace {

const std::string filler = "00000000000000a1";
const std::string id = "00000000000000a2";

constexpr std::uint32_t taskCount = 4;
constexpr milliseconds settleTime {300};
constexpr milliseconds downTime {300};
// The renewal that was sent to the former incarnation times out 1.1 s after the restart, and the
// next one brings the first report.
constexpr milliseconds beforeReport {400};
constexpr milliseconds afterReport {1600};
constexpr milliseconds longRunTime {60'000};
// Ends during the cut.
constexpr milliseconds shortRunTime {2000};
constexpr milliseconds shortCut {3000};
// Longer than any lease.
constexpr milliseconds longCut {14'000};
constexpr milliseconds electionTime {300};
// Leaves the next leader time to hear of the worker.
constexpr milliseconds afterNextLeader {2200};
constexpr milliseconds lastTime {6000};

constexpr milliseconds ahead {6'600'000};
constexpr milliseconds behind {-3'300'000};
constexpr milliseconds littleBehind {-5000};

struct restart_row
{
    const char *name;
    milliseconds clockStep;
    milliseconds cutAfter;
    milliseconds cutSpan;
    milliseconds runTime;
    // Each task is started once or twice.
    std::uint64_t startsOfTask;
    // A violation is found if calls reach any incarnation.
    bool unboundFails;
    // From a first restart to a second crash.
    milliseconds secondCrashAfter {0};
    bool breaksConnections = false;
    // From the last restart until the leader is killed.
    milliseconds killedAfter {0};
};

constexpr restart_row restarts[] = {
    {"cut before its first report, clock ahead", ahead, beforeReport, longCut, longRunTime, 1,
     false},
    {"cut before its first report, clock behind", behind, beforeReport, longCut, longRunTime, 1,
     true},
    {"cut before its first report, clock a little behind", littleBehind, beforeReport, longCut,
     longRunTime, 1, true},
    {"cut before its first report, clock behind, runs end in the cut", behind, beforeReport,
     longCut, shortRunTime, 1, true},
    {"cut after its first report, clock ahead", ahead, afterReport, longCut, longRunTime, 2, false},
    {"cut after its first report, clock behind", behind, afterReport, longCut, longRunTime, 2,
     true},
    {"cut after its first report, clock a little behind", littleBehind, afterReport, longCut,
     longRunTime, 2, true},
    {"cut after its first report, ends are listed under the lease", behind, afterReport, shortCut,
     shortRunTime, 1, false},
    {"cut after its first report, ends are listed after the lease", behind, afterReport, longCut,
     shortRunTime, 2, true},
    {"its connections break, clock behind", behind, afterReport, longCut, longRunTime, 2, false,
     milliseconds(0), true},
    {"restarts again before a report, cut before one, clock behind", behind, beforeReport, longCut,
     longRunTime, 1, true, beforeReport / 4},
    {"restarts again before a report, cut after one, clock behind", behind, afterReport, longCut,
     longRunTime, 2, true, beforeReport / 4},
    {"restarts again after a report, cut before the next, clock behind", behind, beforeReport,
     longCut, longRunTime, 1, true, afterReport},
    {"restarts again after a report, cut after the next, clock behind", behind, afterReport,
     longCut, longRunTime, 2, true, afterReport},
    {"restarts again after a report, cut after the next, clock ahead", ahead, afterReport, longCut,
     longRunTime, 2, false, afterReport},
    {"the leader is killed as it is cut before its first report, clock behind", behind,
     beforeReport, longCut, longRunTime, 1, true, milliseconds(0), false, beforeReport},
    {"the leader is killed before the first report, clock behind", behind, afterNextLeader, longCut,
     longRunTime, 2, true, milliseconds(0), false, beforeReport},
    {"the leader is killed after the first report, clock behind", behind, afterNextLeader, longCut,
     longRunTime, 2, true, milliseconds(0), false, afterReport},
    {"the leader is killed as it is cut, ends are listed under the lease", behind, afterReport,
     shortCut, shortRunTime, 1, false, milliseconds(0), false, afterReport},
};

jobs::step_definition step(std::uint32_t tasks, std::int64_t milliCores, milliseconds runTime)
{
    jobs::step_definition created;
    created.tasks = tasks;
    created.demand = {milliCores, 1'000, 0};
    // The model's workers report no progress.
    created.estimate = runTime * 4;
    return created;
}

capacity_options twoWorkers(bool bound)
{
    capacity_options options;
    options.workers = 2;
    options.bound = bound;
    options.listsIncarnations = false;
    return options;
}

// Two workers, one of which is full until the other one, which restarts, is cut off.
struct restart_world
{
    explicit restart_world(capacity_options options)
        : world(options)
    {
        world.advance(settleTime);
        world.submit(filler, {step(1, 16'000, longRunTime)}, longRunTime);
        world.advance(settleTime);
        REQUIRE(world.running(filler) == 1);
        restarted = world.worker("w0").active.empty() ? "w0" : "w1";
    }

    void restart(const restart_row &row)
    {
        tests::restart_options next;
        next.breaksConnections = row.breaksConnections;
        next.clockStep = row.clockStep;
        world.crash(world.worker(restarted), downTime, next);
        world.advance(downTime + capacity_world::stepTime);
    }

    void play(const restart_row &row)
    {
        restart(row);
        if (row.secondCrashAfter.count() > 0) {
            world.advance(row.secondCrashAfter);
            restart(row);
        }
        world.submit(id, {step(taskCount, 4'000, row.runTime)}, row.runTime);

        if (row.killedAfter.count() > 0) {
            world.advance(row.killedAfter);
            world.kill(electionTime);
        }
        world.advance(row.cutAfter - row.killedAfter);
        placed = world.worker(restarted).active.size();
        world.cut(restarted, row.cutSpan);
        world.advance(electionTime + capacity_world::stepTime);
        world.cancel(filler);
        world.advance(row.cutSpan + lastTime);
    }

    capacity_world world;
    std::string restarted;
    // Runs on the restarted worker before the cut.
    std::size_t placed = 0;
};

} // namespace

// Guards against leases by the clock of a former incarnation, which outlive the leader's count.
TEST_CASE("Tasks on a worker that starts again under its id and is cut off run once at a time")
{
    for (const auto &row : restarts) {
        CAPTURE(std::string(row.name));
        restart_world played {twoWorkers(true)};
        played.play(row);
        const bool ends = row.runTime == shortRunTime;
        CHECK(played.world.violation() == "");
        CHECK(played.placed == (row.cutAfter == beforeReport ? 0 : taskCount));
        CHECK(played.world.starts() == 1 + taskCount * row.startsOfTask);
        CHECK(played.world.running(id) == (ends ? 0 : taskCount));
        CHECK(played.world.done() == (ends ? 1 : 0));
        restart_world unbound {twoWorkers(false)};
        unbound.play(row);
        INFO(unbound.world.violation());
        CHECK(unbound.world.violation().empty() != row.unboundFails);
    }
}
