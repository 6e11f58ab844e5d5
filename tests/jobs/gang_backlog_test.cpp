#include "jobs/gang_backlog_world.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <iomanip>
#include <iostream>

using namespace plantaingap;
using plantaingap::tests::backlog_figures;
using plantaingap::tests::backlog_options;
using plantaingap::tests::gang_backlog_world;

namespace {

struct backlog_row
{
    const char *name;
    double load;
    bool membersFail;
    bool workersLeave;
};

const backlog_row rows[] = {
    {"three quarters of the usual traffic", 0.75, false, false},
    {"three quarters, members fail", 0.75, true, false},
    {"three quarters, members fail and workers leave", 0.75, true, true},
    {"the usual traffic", 1.0, false, false},
    {"the usual traffic, members fail", 1.0, true, false},
    {"the usual traffic, members fail and workers leave", 1.0, true, true},
    {"too much traffic", 1.3, false, false},
    {"too much traffic, members fail", 1.3, true, false},
    {"too much traffic, members fail and workers leave", 1.3, true, true},
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::stoull(text) : otherwise;
}

backlog_options optionsOf(const backlog_row &row, std::uint64_t seed)
{
    backlog_options options;
    options.load = row.load;
    options.membersFail = row.membersFail;
    options.workersLeave = row.workersLeave;
    options.seed = seed;
    return options;
}

// Calls the function for each row and seed; GANG_BACKLOG_FIRST_SEED and GANG_BACKLOG_SEEDS choose
// the seeds, GANG_BACKLOG_ROW a single row.
template<typename Function>
void forEachRun(Function function)
{
    const auto first = numberFromEnvironment("GANG_BACKLOG_FIRST_SEED", 1);
    const auto seeds = numberFromEnvironment("GANG_BACKLOG_SEEDS", 1);
    const auto only = numberFromEnvironment("GANG_BACKLOG_ROW", std::size(rows));
    for (auto seed = first; seed < first + seeds; ++seed) {
        for (std::size_t i = 0; i < std::size(rows); ++i) {
            if (only == std::size(rows) || only == i)
                function(rows[i], seed);
        }
    }
}

double inSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double inMicroseconds(const std::vector<std::chrono::nanoseconds> &sorted, double quantile)
{
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return std::chrono::duration<double, std::micro>(sorted[index]).count();
}

void print(const backlog_row &row, std::uint64_t seed, const gang_backlog_world &world)
{
    const auto figures = world.figures();
    std::cout << std::fixed << std::setprecision(3) << row.name << ", seed " << seed << "\n"
              << "  lost " << world.lost << " unfinished " << world.unfinished.size()
              << " longest gang wait " << inSeconds(figures.longestGangWait) << " s, drained after "
              << inSeconds(figures.drainTime) << " s\n";
    double owed = 0;
    double earned = 0;
    for (std::size_t kind = 0; kind < figures.kinds.size(); ++kind) {
        const auto &outcomes = figures.kinds[kind];
        owed += outcomes.worthOwed;
        earned += outcomes.worthEarned;
        std::cout << "  " << std::setw(6) << gang_backlog_world::nameOfKind(kind) << ": sent "
                  << outcomes.sent << " accepted " << outcomes.accepted << " refused "
                  << outcomes.refusedForGood << " on time " << outcomes.onTime << " late "
                  << outcomes.late << " worthless " << outcomes.worthless << " worth "
                  << outcomes.worthEarned / outcomes.worthOwed << "\n";
    }
    const auto &counts = figures.counts;
    std::cout << "  worth " << earned / owed << " starts " << counts.starts << " rejected "
              << counts.startsRejected << " failed runs " << counts.runsFailed << " broken gangs "
              << counts.gangsBroken << " advice calls " << counts.adviceCalls << " tickets "
              << counts.ticketsGranted << " unused " << counts.ticketsGranted - counts.ticketsUsed
              << " pass p50 " << inMicroseconds(counts.planTimes, 0.5) << " us p99 "
              << inMicroseconds(counts.planTimes, 0.99) << " us\n"
              << std::flush;
}

} // namespace

// Guards against accepted gangs that wait without a run after the end of traffic while most of the
// cell is free (found on ctrs-sched-large as LOST).
TEST_CASE("A backlog of gangs is served while under half of the cell is in use")
{
    forEachRun([](const backlog_row &row, std::uint64_t seed) {
        CAPTURE(std::string(row.name));
        CAPTURE(seed);
        gang_backlog_world world(optionsOf(row, seed));
        world.run();
        for (const auto &text : world.lostExamples) {
            CAPTURE(text);
            CHECK_MESSAGE(false, "a job has no run while there is capacity for it");
        }
        CHECK(world.lost == 0);
        for (const auto &text : world.unfinished) {
            CAPTURE(text);
            CHECK_MESSAGE(false, "a job has not ended");
        }
        CHECK(world.startedTwice().empty());
    });
}

// Prints figures by which policies can be compared; GANG_BACKLOG_TRACE adds the load each second.
TEST_CASE("Figures of a backlog of gangs" * doctest::skip())
{
    forEachRun([](const backlog_row &row, std::uint64_t seed) {
        gang_backlog_world world(optionsOf(row, seed));
        if (std::getenv("GANG_BACKLOG_TRACE"))
            world.observer = [&world] { std::cout << world.loadText() << "\n"; };
        world.run();
        print(row, seed, world);
        for (const auto &text : world.lostExamples)
            std::cout << "  " << text << "\n";
    });
}
