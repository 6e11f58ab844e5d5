#include "jobs/gang_backlog_world.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <iomanip>
#include <iostream>

using namespace plantaingap;
using plantaingap::tests::backlog_options;
using plantaingap::tests::backlog_outcomes;
using plantaingap::tests::backlog_traffic;
using plantaingap::tests::backlogBands;
using plantaingap::tests::backlogKinds;
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
    {"three quarters, workers leave", 0.75, false, true},
    {"three quarters, members fail and workers leave", 0.75, true, true},
    {"the usual traffic", 1.0, false, false},
    {"the usual traffic, members fail", 1.0, true, false},
    {"the usual traffic, workers leave", 1.0, false, true},
    {"the usual traffic, members fail and workers leave", 1.0, true, true},
    {"too much traffic", 1.3, false, false},
    {"too much traffic, members fail", 1.3, true, false},
    {"too much traffic, workers leave", 1.3, false, true},
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
    const auto seeds = numberFromEnvironment("GANG_BACKLOG_SEEDS", 2);
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

// Figures of one run, or sums over several.
struct summed_figures
{
    int runs = 0;
    std::size_t lost = 0;
    std::size_t lostBesideAllowed = 0;
    std::size_t lostBesideAllowedAnywhere = 0;
    std::size_t lostInBusyPartition = 0;
    std::size_t unfinished = 0;
    // The longest of all runs.
    double longestGangWait = 0;
    double drainTime = 0;
    std::array<backlog_outcomes, backlogKinds> kinds;
    std::array<std::array<backlog_outcomes, backlogBands>, backlogKinds> bands;
    std::uint64_t starts = 0;
    std::uint64_t adviceCalls = 0;
    std::uint64_t tickets = 0;
    std::uint64_t unusedTickets = 0;
    // The highest of all runs.
    double passMedian = 0;
    double passP99 = 0;
};

void add(summed_figures &sum, const gang_backlog_world &world)
{
    const auto figures = world.figures();
    const auto &counts = figures.counts;
    ++sum.runs;
    sum.lost += world.lost;
    sum.lostBesideAllowed += world.lostBesideAllowed;
    sum.lostBesideAllowedAnywhere += world.lostBesideAllowedAnywhere;
    sum.lostInBusyPartition += world.lostInBusyPartition;
    sum.unfinished += world.unfinished.size();
    sum.longestGangWait = std::max(sum.longestGangWait, inSeconds(figures.longestGangWait));
    sum.drainTime = std::max(sum.drainTime, inSeconds(figures.drainTime));
    for (std::size_t kind = 0; kind < backlogKinds; ++kind) {
        sum.kinds[kind] += figures.kinds[kind];
        for (std::size_t band = 0; band < backlogBands; ++band)
            sum.bands[kind][band] += figures.bands[kind][band];
    }
    sum.starts += counts.starts;
    sum.adviceCalls += counts.adviceCalls;
    sum.tickets += counts.ticketsGranted;
    sum.unusedTickets += counts.ticketsGranted - counts.ticketsUsed;
    sum.passMedian = std::max(sum.passMedian, inMicroseconds(counts.planTimes, 0.5));
    sum.passP99 = std::max(sum.passP99, inMicroseconds(counts.planTimes, 0.99));
}

void printTitle()
{
    std::cout << "load fail leave seed | LOST, of these with room on allowed workers, twice on "
                 "those of all partitions, in a busy partition; not ended | longest gang wait s, "
                 "drained s | of each kind: sent "
                 "accepted refused, on time late worthless, worth, share served of the largest "
                 "tenth, the "
                 "next fifth and the rest | worth | starts calls tickets "
                 "unused | pass us p50 p99\n";
}

// One line in the order of the title.
void print(const backlog_row &row, const std::string &seed, const summed_figures &figures)
{
    std::cout << std::fixed << std::setprecision(2) << row.load << ' ' << row.membersFail << ' '
              << row.workersLeave << ' ' << seed << " | " << figures.lost << ' '
              << figures.lostBesideAllowed << ' ' << figures.lostBesideAllowedAnywhere << ' '
              << figures.lostInBusyPartition << ' ' << figures.unfinished << " | "
              << std::setprecision(1) << figures.longestGangWait << ' ' << figures.drainTime
              << std::setprecision(3);
    double owed = 0;
    double earned = 0;
    for (std::size_t kind = 0; kind < backlogKinds; ++kind) {
        const auto &outcomes = figures.kinds[kind];
        owed += outcomes.worthOwed;
        earned += outcomes.worthEarned;
        std::cout << " | " << backlog_traffic::nameOfKind(kind) << ' ' << outcomes.sent << ' '
                  << outcomes.accepted << ' ' << outcomes.refusedForGood << ", " << outcomes.onTime
                  << ' ' << outcomes.late << ' ' << outcomes.worthless << ", "
                  << outcomes.worthEarned / outcomes.worthOwed << ", served by size";
        for (const auto &band : figures.bands[kind])
            std::cout << ' ' << band.servedShare();
    }
    std::cout << " | " << earned / owed << " | " << figures.starts << ' ' << figures.adviceCalls
              << ' ' << figures.tickets << ' ' << figures.unusedTickets << " | "
              << std::setprecision(0) << figures.passMedian << ' ' << figures.passP99 << '\n'
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
        CHECK(world.figures().counts.startsOverCapacity == 0);
    });
}

// Prints figures by which policies can be compared, of each run and of all seeds of a row;
// GANG_BACKLOG_TRACE adds the load each second and what the scheduler says of lost jobs.
TEST_CASE("Figures of a backlog of gangs" * doctest::skip())
{
    const bool traced = std::getenv("GANG_BACKLOG_TRACE") != nullptr;
    std::map<const backlog_row *, summed_figures> sums;
    printTitle();
    forEachRun([&](const backlog_row &row, std::uint64_t seed) {
        gang_backlog_world world(optionsOf(row, seed));
        if (traced)
            world.observer = [&world] { std::cout << world.loadText() << "\n"; };
        world.run();
        summed_figures single;
        add(single, world);
        add(sums[&row], world);
        print(row, std::to_string(seed), single);
        for (const auto &text : traced ? world.lostExamples : std::vector<std::string> {})
            std::cout << "  " << text << "\n";
    });
    for (const auto &[row, sum] : sums)
        print(*row, "all" + std::to_string(sum.runs), sum);
}
