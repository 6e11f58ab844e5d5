#include "jobs/duration_estimator.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <string>

using plantaingap::jobs::duration_estimator;
using std::chrono::milliseconds;

namespace {

const std::string queue = "queue";

struct learning_row
{
    const char *name;
    // Actual durations are the declared ones times this factor, or unrelated to them.
    double factor;
    bool related;
    milliseconds declared;
    // Expected estimate, within 25 %.
    milliseconds expected;
};

const learning_row rows[] = {
    {"accurate declarations are used unchanged", 1.0, true, milliseconds(500), milliseconds(500)},
    {"declarations of half the actual duration are doubled", 2.0, true, milliseconds(500),
     milliseconds(1000)},
    {"unrelated declarations are replaced by the mean duration", 1.0, false, milliseconds(400),
     milliseconds(1000)},
};

} // namespace

TEST_CASE("Durations are estimated from past runs")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        std::mt19937 random(7);
        std::uniform_real_distribution<double> logs(std::log(200.0), std::log(3000.0));
        std::uniform_real_distribution<double> noise(-0.1, 0.1);
        duration_estimator durations;
        for (int i = 0; i < 400; ++i) {
            const auto declared = std::exp(logs(random));
            const auto actual = row.related ? declared * row.factor : 1000.0;
            durations.observe(queue, milliseconds(std::llround(declared)),
                              milliseconds(std::llround(actual * std::exp(noise(random)))));
        }
        const auto estimated = static_cast<double>(durations.estimate(queue, row.declared).count());
        const auto wanted = static_cast<double>(row.expected.count());
        CHECK(estimated > wanted * 0.75);
        CHECK(estimated < wanted * 1.25);
    }
}

TEST_CASE("Without past runs the estimate is the declared duration")
{
    const duration_estimator durations;
    CHECK(durations.estimate(queue, milliseconds(700)) == milliseconds(700));
}

TEST_CASE("A single run has little weight, and an estimate is at most ten times the declaration")
{
    duration_estimator durations;
    durations.observe(queue, milliseconds(1000), milliseconds(100'000));
    CHECK(durations.estimate(queue, milliseconds(1000)) < milliseconds(3000));
    for (int i = 0; i < 1000; ++i)
        durations.observe(queue, milliseconds(1000), milliseconds(100'000));
    CHECK(durations.estimate(queue, milliseconds(1000)) <= milliseconds(10'000));
}
