#include "task_model.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>
#include <tuple>

using namespace plantaingap;
using namespace plantaingap::decision;

namespace {

std::string findViolation(std::uint64_t seed, int steps)
{
    std::mt19937_64 random(seed);
    task_model model;
    try {
        for (int step = 0; step < steps; ++step) {
            const auto bits = random();
            model.apply({static_cast<std::uint8_t>(bits), static_cast<std::uint16_t>(bits >> 8),
                         static_cast<std::uint16_t>(bits >> 24)});
        }
        model.settle();
    } catch (const std::runtime_error &violation) {
        return violation.what();
    }
    return {};
}

} // namespace

TEST_CASE("invariants hold for any order of events")
{
    ::setenv("RC_PARAMS", "seed=7 max_success=300 max_size=200", 1);
    const bool passed = rc::check(
        [](const std::vector<std::tuple<std::uint8_t, std::uint16_t, std::uint16_t>> &steps) {
            task_model model;
            for (const auto &[operation, first, second] : steps)
                model.apply({operation, first, second});
        });
    CHECK(passed);
}

TEST_CASE("invariants hold in long seeded runs")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        CHECK(findViolation(seed, 800) == "");
    }
}
