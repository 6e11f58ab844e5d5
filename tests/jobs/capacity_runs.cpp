#include "jobs/capacity_runs.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>

namespace plantaingap::tests {

namespace {

struct fault_row
{
    const char *name;
    capacity_faults faults;
    milliseconds gangEndSkew;
    // Rare cases need more seeds.
    std::uint64_t seedFactor = 1;
};

constexpr capacity_faults work {
    .submit = 60, .cancel = 8, .failure = 60, .gang = 300, .lasting = 100};

constexpr capacity_faults with(capacity_faults faults, int capacity_faults::*rate, int value)
{
    faults.*rate = value;
    return faults;
}

constexpr capacity_faults lossy(capacity_faults faults)
{
    faults.lost = 20;
    faults.replyLost = 20;
    faults.late = 20;
    faults.doubled = 10;
    faults.refused = 10;
    return faults;
}

constexpr capacity_faults changing(capacity_faults faults)
{
    faults.resign = 2;
    faults.kill = 1;
    return faults;
}

constexpr capacity_faults unsteady(capacity_faults faults)
{
    faults.crash = 2;
    faults.freeze = 1;
    faults.cut = 1;
    faults.shrink = 2;
    faults.slowStore = 5;
    return faults;
}

constexpr capacity_faults restarting(capacity_faults faults)
{
    faults.restartAndCut = 4;
    faults.lasting = 400;
    return faults;
}

constexpr fault_row rows[] = {
    {"no faults", work, milliseconds(0)},
    {"members of a gang end one after the other", work, milliseconds(100)},
    {"messages are lost, late and doubled", lossy(work), milliseconds(0)},
    {"leaders resign", with(work, &capacity_faults::resign, 5), milliseconds(0)},
    {"leaders are killed", with(work, &capacity_faults::kill, 3), milliseconds(0)},
    {"workers crash, freeze and shrink", unsteady(work), milliseconds(0)},
    {"workers start again under their ids and are cut off", restarting(work), milliseconds(0), 10},
    {"the same, messages are lost and leaders change", restarting(changing(lossy(work))),
     milliseconds(0), 10},
    {"leaders are cut off with a worker",
     with(with(work, &capacity_faults::split, 1), &capacity_faults::cut, 1), milliseconds(0)},
    {"orders to a worker are not sent, messages are lost and leaders change",
     with(changing(lossy(work)), &capacity_faults::unsent, 4), milliseconds(0), 4},
    {"all of it", unsteady(changing(lossy(work))), milliseconds(100)},
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const auto *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

void checkCapacityRuns(stopping_report stopping)
{
    const auto firstSeed = numberFromEnvironment("CAPACITY_SEED", 1);
    const auto seeds = numberFromEnvironment("CAPACITY_SEEDS", 2);
    const auto steps = static_cast<std::int64_t>(numberFromEnvironment("CAPACITY_STEPS", 6'000));
    const auto *traced = std::getenv("CAPACITY_TRACE");
    for (const auto &row : rows) {
        std::uint64_t starts = 0;
        std::uint64_t done = 0;
        std::uint64_t takeovers = 0;
        std::uint64_t broken = 0;
        for (auto seed = firstSeed; seed < firstSeed + seeds * row.seedFactor; ++seed) {
            CAPTURE(std::string(row.name));
            CAPTURE(seed);
            capacity_options options;
            options.workers = 4;
            options.seed = seed;
            options.faults = row.faults;
            options.gangEndSkew = row.gangEndSkew;
            options.stopping = stopping;
            options.messageTime = milliseconds(20);
            options.storeTime = milliseconds(40);
            options.renewalInterval = milliseconds(40);
            options.randomTimes = true;
            options.listsIncarnations = seed % 2 == 0;
            capacity_world world(options);
            world.advance(capacity_world::stepTime * steps);
            CHECK(world.violation() == "");
            starts += world.starts();
            done += world.done();
            takeovers += world.takeovers();
            broken += world.violation().empty() ? 0 : 1;
            if (traced)
                std::cout << world.trace(traced);
        }
        CHECK(done > 0);
        MESSAGE(std::string(row.name), ": ", starts, " starts, ", done, " jobs done, ", takeovers,
                " take-overs, ", broken, " of ", seeds * row.seedFactor, " broken");
    }
}

} // namespace plantaingap::tests
