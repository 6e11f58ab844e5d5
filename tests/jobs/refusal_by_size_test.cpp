#include "jobs/gang_backlog_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::backlog_options;
using plantaingap::tests::backlog_outcomes;
using plantaingap::tests::backlog_traffic;
using plantaingap::tests::backlogBands;
using plantaingap::tests::backlogKinds;
using plantaingap::tests::gang_backlog_world;
using plantaingap::tests::modelled_site;

namespace {

constexpr const char *bandNames[backlogBands] = {"the largest tenth", "the next fifth", "the rest"};
// Of the largest tenth of a kind and of the fifth below it this share of what is served of the
// whole kind must be served.
constexpr double minServedOfKind = 0.5;

struct size_row
{
    const char *name;
    double load;
    std::uint64_t seed;
};

const size_row rows[] = {
    {"1.3 times the traffic", 1.3, 3},
    {"1.8 times the traffic", 1.8, 2},
    {"1.8 times the traffic, another seed", 1.8, 3},
};

backlog_options optionsOf(const size_row &row)
{
    backlog_options options;
    options.site = modelled_site::Grown;
    options.load = row.load;
    options.membersFail = true;
    options.partitions = 1;
    options.workersPerPartition = 350;
    options.seed = row.seed;
    return options;
}

std::string textOf(const char *name, const backlog_outcomes &outcomes)
{
    return std::string(name) + ": sent " + std::to_string(outcomes.sent) + " refused "
           + std::to_string(outcomes.refusedForGood) + " on time " + std::to_string(outcomes.onTime)
           + " late " + std::to_string(outcomes.late) + " without value "
           + std::to_string(outcomes.worthless) + "\n";
}

} // namespace

// Guards against large jobs that are refused, or run too late, where small ones of their kind are
// served (found on ctrs-sched-grown as SHORT).
TEST_CASE("The largest jobs of a kind are served at least half as often as the whole kind")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        CAPTURE(row.seed);
        gang_backlog_world world(optionsOf(row));
        world.run();
        const auto figures = world.figures();
        for (std::size_t kind = 0; kind < backlogKinds; ++kind) {
            const std::string queue = backlog_traffic::nameOfKind(kind);
            const auto least = figures.kinds[kind].servedShare() * minServedOfKind;
            auto text = textOf(queue.c_str(), figures.kinds[kind]);
            for (std::size_t band = 0; band < backlogBands; ++band)
                text += "  " + textOf(bandNames[band], figures.bands[kind][band]);
            CAPTURE(text);
            for (std::size_t band = 0; band + 1 < backlogBands; ++band) {
                CAPTURE(std::string(bandNames[band]));
                CHECK(figures.bands[kind][band].servedShare() >= least);
            }
        }
    }
}
