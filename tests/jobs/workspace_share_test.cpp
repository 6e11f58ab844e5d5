#include "jobs/gang_backlog_world.h"
#include "jobs/load/spare_room.h"
#include "jobs/workspaces/arrival_meter.h"
#include "jobs/workspaces/return_schedule.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::backlog_options;
using plantaingap::tests::gang_backlog_world;
using plantaingap::tests::milliseconds;
using plantaingap::tests::modelled_site;
using std::chrono::seconds;

namespace {

time_point at(milliseconds span)
{
    return time_point(std::chrono::hours(1)) + span;
}

struct arrival_row
{
    const char *name;
    double perSecond;
    // Jobs that arrive together, at these times.
    int jobs;
    std::vector<int> atMs;
    // Of them within the share at each time.
    std::vector<int> within;
};

constexpr int workspaces = 10;
constexpr double hotFactor = 8;
// The stated target: others lose less than this of their worth.
constexpr double maxLoss = 0.05;

struct share_result
{
    // Of the worst-served workspace, and of all that send their usual.
    double worst = 1;
    double others = 0;
    double hot = 0;
};

share_result play(std::uint64_t seed, double factor, bool declared)
{
    backlog_options options;
    options.site = modelled_site::Grown;
    options.partitions = 1;
    options.workersPerPartition = 120;
    options.load = 0.85;
    options.seed = seed;
    options.workspaces = workspaces;
    options.hotFactor = factor;
    options.declared = declared;
    gang_backlog_world world(options);
    world.run();
    tests::backlog_outcomes others;
    tests::backlog_outcomes hot;
    share_result result;
    for (const auto &[name, outcomes] : world.figures().workspaces) {
        (name == "workspace-0" ? hot : others) += outcomes;
        if (name != "workspace-0")
            result.worst = std::min(result.worst, outcomes.worthEarned / outcomes.worthOwed);
    }
    result.others = others.worthEarned / others.worthOwed;
    result.hot = hot.worthEarned / hot.worthOwed;
    return result;
}

} // namespace

// Guards against a workspace that is charged for less, or more, than its jobs a second.
TEST_CASE("Jobs beyond the share of a workspace are told from those within")
{
    const arrival_row rows[] = {
        {"a small share takes four at once", 1, 6, {0}, {4}},
        {"and one more each second", 1, 6, {0, 1000, 3000}, {4, 1, 2}},
        {"a large share takes a second's jobs at once", 50, 60, {0}, {50}},
        {"what is not used is not kept for later", 50, 60, {0, 10'000}, {50, 50}},
        {"half a second fills half of it", 50, 60, {0, 500}, {50, 25}},
        {"no share", 0, 6, {0, 5000}, {4, 0}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        jobs::arrival_meter meter;
        int next = 0;
        for (std::size_t i = 0; i < row.atMs.size(); ++i) {
            int within = 0;
            for (int j = 0; j < row.jobs; ++j) {
                const auto arrived = meter.classify("w", row.perSecond, std::to_string(next++),
                                                    at(milliseconds(row.atMs[i])));
                CHECK_FALSE(arrived.repeated);
                within += arrived.beyond ? 0 : 1;
            }
            CHECK(within == row.within[i]);
        }
    }
}

// Guards against a caller that is charged twice because its first attempt was refused or lost.
TEST_CASE("A job that is submitted again keeps its answer, and other workspaces theirs")
{
    jobs::arrival_meter meter;
    for (int i = 0; i < 5; ++i)
        CHECK(meter.classify("w", 1, std::to_string(i), at(milliseconds(0))).beyond == (i == 4));
    for (int i = 0; i < 5; ++i) {
        const auto again = meter.classify("w", 1, std::to_string(i), at(seconds(2)));
        CHECK(again.repeated);
        CHECK(again.beyond == (i == 4));
    }
    CHECK_FALSE(meter.classify("other", 1, "5", at(milliseconds(0))).beyond);
    CHECK_FALSE(meter.classify("w", 1, "4", at(seconds(40))).repeated);
}

// Guards against refused callers that all come back in the same second.
TEST_CASE("Refused jobs of a workspace return at its rate")
{
    jobs::return_schedule schedule;
    std::map<std::uint32_t, int> bySecond;
    for (int i = 0; i < 40; ++i)
        ++bySecond[schedule.assign("w", 10, false, seconds(1), at(milliseconds(0)))];
    for (const auto &[second, count] : bySecond) {
        CAPTURE(second);
        CHECK(second >= 1);
        CHECK(second <= 8);
        CHECK(count <= 11);
    }
    CHECK(schedule.assign("w", 10, true, seconds(1), at(milliseconds(0))) == 1);
    CHECK(schedule.assign("other", 10, false, seconds(2), at(milliseconds(0))) == 2);
    CHECK(schedule.assign("none", 0, false, seconds(10), at(milliseconds(0))) == 10);
    CHECK(schedule.assign("none", 0, false, seconds(1), at(milliseconds(0))) <= 8);
}

TEST_CASE("The cores that work within the shares needs follow what was submitted lately")
{
    jobs::spare_room room;
    CHECK(room.neededCores(at(milliseconds(0))) == 0);
    for (int i = 0; i < 100; ++i)
        room.submitted(10, at(milliseconds(100 * i)));
    CHECK(room.neededCores(at(milliseconds(9900))) == doctest::Approx(100).epsilon(0.05));
    CHECK(room.neededCores(at(milliseconds(12'400))) == doctest::Approx(50).epsilon(0.1));
    CHECK(room.neededCores(at(seconds(60))) == 0);
}

// Guards against one workspace that takes the fleet from all others, and shows that without shares
// it does. Each seed is played with the usual load of the workspace and with 8 times as much.
TEST_CASE("A workspace at 8 times its usual takes nothing from the others")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        const auto usual = play(seed, 1, true);
        const auto hot = play(seed, hotFactor, true);
        const auto unshared = play(seed, hotFactor, false);
        MESSAGE("seed ", seed, ": others ", usual.others, ", beside 8 times ", hot.others,
                ", without shares ", unshared.others, "; worst ", usual.worst, ", ", hot.worst,
                ", ", unshared.worst, "; the workspace's usual jobs ", usual.hot, ", ", hot.hot,
                ", ", unshared.hot);
        CHECK(hot.others >= usual.others - maxLoss);
        CHECK(unshared.others < usual.others - maxLoss);
    }
}
