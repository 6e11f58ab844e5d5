#include "jobs/gang_load_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::submit_status;
using plantaingap::tests::gangOf;
using plantaingap::tests::gangRunTime;
using plantaingap::tests::identifier;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::usefulSpan;
using plantaingap::tests::wholeWorkers;

namespace {

constexpr int workers = 60;
// The gang may use only these, of which it needs two thirds.
constexpr int allowedWorkers = 24;
constexpr std::uint32_t members = 16;
constexpr const char *allowedLabel = "allowed";
// Older tasks on allowed workers, started one after the other.
constexpr int olderTasks = 20;
constexpr milliseconds olderInterval {100};
constexpr milliseconds tick {100};
// All runs take exactly their declared time, so that a planned start is wrong by a few ticks only.
constexpr milliseconds planError {300};
const std::string gangId = "00000000000000c1";

// Jobs that are submitted at an interval; each task needs a whole worker.
struct younger_row
{
    const char *name;
    std::uint32_t tasks;
    bool gang;
    milliseconds interval;
};

const younger_row rows[] = {
    {"few single tasks", 1, false, milliseconds(400)},
    {"single tasks for two thirds of the workers", 4, false, milliseconds(400)},
    {"single tasks for five sixths of the workers", 5, false, milliseconds(400)},
    {"single tasks for more than all workers", 8, false, milliseconds(400)},
    {"gangs for five sixths of the workers", 5, true, milliseconds(400)},
    {"gangs for more than all workers", 8, true, milliseconds(400)},
};

// A fleet on which no worker fails and all runs take as long as declared.
class calm_world
{
public:
    explicit calm_world(const younger_row &row)
        : world(workers, wholeWorkers)
        , m_row(row)
    {
        world.runTime = gangRunTime;
        auto worker = world.fleet.begin();
        for (int i = 0; i < allowedWorkers; ++i, ++worker)
            worker->second.entry.labels.emplace_back(allowedLabel);
        world.begin();
    }

    void runTick(bool withYounger)
    {
        world.elapsed += tick;
        world.endDueRuns();
        if (withYounger && world.elapsed % m_row.interval < tick) {
            auto step = gangOf(m_row.tasks, {wholeWorkers.milliCores, 1000, 0});
            step.gang = m_row.gang;
            world.submit(identifier(++m_submitted), "large", {step});
        }
        world.renewAllLeases();
        world.settle();
    }

    void run(milliseconds span, bool withYounger)
    {
        for (milliseconds passed {0}; passed < span; passed += tick)
            runTick(withYounger);
    }

    void startOlderTasks()
    {
        for (int i = 0; i < olderTasks; ++i) {
            auto step = gangOf(1, {wholeWorkers.milliCores, 1000, 0});
            step.gang = false;
            step.label = allowedLabel;
            world.submit(identifier(++m_submitted), "large", {step});
            run(olderInterval, false);
        }
    }

    submit_status submitGang()
    {
        auto gang = gangOf(members, {wholeWorkers.milliCores, 1000, 0});
        gang.label = allowedLabel;
        return world.submit(gangId, "large", {gang}).status;
    }

    bool gangStarted() const { return world.running(gangId) > 0; }
    const jobs::step_run &gang() const
    {
        return world.scheduler.job(gangId)->occurrences.begin()->second.steps.front();
    }

    scheduler_world world;

private:
    const younger_row &m_row;
    int m_submitted = 0;
};

long long inMilliseconds(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace

// Guards against accepted gangs whose claim lapses when younger jobs make the fleet busy (LOST).
TEST_CASE("The planned start of a gang with a claim moves later only for a cause")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        calm_world calm(row);
        calm.startOlderTasks();
        REQUIRE(calm.submitGang() != submit_status::Refused);
        calm.runTick(false);
        REQUIRE(calm.gang().gang.reserved);
        const auto claimedAt = calm.world.elapsed;
        const auto claimedStart = *calm.gang().gang.startAt - calm.world.now() + claimedAt;
        int ticksWithoutClaim = 0;
        int movesLater = 0;
        auto plannedStart = claimedStart;
        while (!calm.gangStarted() && calm.world.elapsed < claimedAt + usefulSpan) {
            calm.runTick(true);
            const auto &plan = calm.gang().gang;
            if (calm.gangStarted())
                break;
            ticksWithoutClaim += plan.reserved ? 0 : 1;
            if (!plan.startAt)
                continue;
            const auto start = *plan.startAt - calm.world.now() + calm.world.elapsed;
            if (start > plannedStart + planError) {
                ++movesLater;
                plannedStart = start;
            }
        }
        CHECK(ticksWithoutClaim == 0);
        CHECK(movesLater == 0);
        CHECK(inMilliseconds(calm.world.elapsed - claimedAt)
              <= inMilliseconds(claimedStart + planError - claimedAt));
    }
}

// Guards against accepted gangs that younger jobs keep from starting when admission said (LOST).
TEST_CASE("An accepted gang starts about when admission predicted")
{
    for (const auto &row : rows) {
        for (const bool withYounger : {false, true}) {
            CAPTURE(std::string(row.name));
            CAPTURE(withYounger);
            calm_world calm(row);
            calm.run(2 * gangRunTime, true);
            const auto accepts = [&calm] { return calm.submitGang() != submit_status::Refused; };
            for (milliseconds passed {0}; passed < usefulSpan && !accepts(); passed += tick)
                calm.runTick(true);
            REQUIRE(accepts());
            const auto acceptedAt = calm.world.elapsed;
            REQUIRE(calm.gang().predictedStart);
            const auto predicted = *calm.gang().predictedStart - calm.world.now();
            while (!calm.gangStarted() && calm.world.elapsed < acceptedAt + usefulSpan)
                calm.runTick(withYounger);
            const auto waited = calm.world.elapsed - acceptedAt;
            CHECK(inMilliseconds(waited) <= inMilliseconds(predicted + gangRunTime));
        }
    }
}
