#include "jobs/capacity_world.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>

using namespace plantaingap;
using plantaingap::tests::capacity_faults;
using plantaingap::tests::capacity_options;
using plantaingap::tests::capacity_world;
using plantaingap::tests::milliseconds;

namespace {

struct limit_row
{
    const char *name;
    capacity_faults faults;
    // Messages that are lost, late, doubled.
    int unreliable = 0;
    int changing = 0;
    int unsteady = 0;
};

constexpr capacity_faults work {
    .submit = 60, .cancel = 8, .failure = 60, .gang = 300, .lasting = 100, .changeLimit = 2};

const limit_row rows[] = {
    {"no faults", work},
    {"messages are lost, late and doubled", work, 20},
    {"leaders resign and are killed", work, 0, 3},
    {"the same, with messages that are lost and late", work, 20, 3},
    {"workers crash, freeze and shrink, the store is slow, leaders and messages are lost", work, 20,
     2, 2},
};

capacity_options optionsOf(const limit_row &row, std::uint64_t seed, bool limitsKnown)
{
    capacity_options options;
    options.workers = 4;
    options.seed = seed;
    options.faults = row.faults;
    auto &faults = options.faults;
    faults.lost = faults.replyLost = faults.late = row.unreliable;
    faults.doubled = row.unreliable / 2;
    faults.resign = row.changing;
    faults.kill = row.changing;
    faults.crash = faults.shrink = faults.freeze = faults.cut = row.unsteady;
    faults.slowStore = row.unsteady * 2;
    options.messageTime = milliseconds(20);
    options.storeTime = milliseconds(40);
    options.renewalInterval = milliseconds(40);
    options.randomTimes = true;
    options.workspaces = {
        {"a", {}, 100, {24'000, 48'000, 0}}, {"b", {}, 100, {6'000, 0, 0}}, {"c", {}, 100, {}}};
    options.limitsKnown = limitsKnown;
    return options;
}

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const auto *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

// Guards against starts that are not counted: unanswered or late ones, those of a former leader,
// runs that are being stopped, and runs that outlive their job. A million steps: 5 rows of 20 seeds
// with 10,000.
TEST_CASE("No start brings a workspace over its limit, whatever is lost")
{
    const auto seeds = numberFromEnvironment("LIMIT_SEEDS", 20);
    const auto steps = static_cast<std::int64_t>(numberFromEnvironment("LIMIT_STEPS", 10'000));
    // Prints the last lines of each run with this word.
    const auto *traced = std::getenv("LIMIT_TRACE");
    for (const auto &row : rows) {
        std::uint64_t done = 0;
        std::uint64_t starts = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(std::string(row.name));
            CAPTURE(seed);
            capacity_world world(optionsOf(row, seed, true));
            world.advance(capacity_world::stepTime * steps);
            CHECK(world.violation() == "");
            // No charge is left, and no job waits for ever.
            CHECK(world.drain(std::chrono::seconds(120)) == "");
            CHECK(world.violation() == "");
            if (traced)
                std::cout << world.trace(traced);
            done += world.done();
            starts += world.starts();
        }
        CHECK(done > 0);
        MESSAGE(std::string(row.name), ": ", starts, " starts, ", done, " jobs done");
    }
}

// Shows that the check above sees a scheduler that does not keep the limits.
TEST_CASE("A scheduler that does not know the limits breaks them")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        capacity_world world(optionsOf(row, 1, false));
        world.advance(capacity_world::stepTime * 10'000);
        CHECK(world.violation().starts_with("limit"));
    }
}
