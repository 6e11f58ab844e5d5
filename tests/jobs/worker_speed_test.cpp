#include "jobs/worker_speed.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace plantaingap::jobs;

namespace {

// A worker whose tasks take `factor` times the mean, in a queue with inaccurate declarations.
struct speed_row
{
    const char *name;
    double factor;
    // Standard deviation of the declaration error, as a natural logarithm.
    double spread;
    int runs;
    bool slow;
};

const speed_row rows[] = {
    {"an average worker is never classified as slow", 1.0, 0.9, 400, false},
    {"a zone that is a third slower is not classified as slow", 1.33, 0.2, 200, false},
    {"a worker that takes six times as long is detected within ten runs", 6.0, 0.2, 10, true},
    {"a slow worker is detected where declarations are off by a factor of two and more", 7.0, 0.9,
     30, true},
};

} // namespace

TEST_CASE("Workers are classified as slow by the duration of their runs")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        std::mt19937 random(7);
        std::normal_distribution<double> error(0.0, row.spread);
        declared_duration_errors durationErrors;
        for (int i = 0; i < 1000; ++i)
            durationErrors.observe("queue", 1.5 * std::exp(error(random)));
        worker_speed speed;
        bool everSlow = false;
        for (int i = 0; i < row.runs; ++i) {
            // The worker under test is one of many.
            for (int otherWorker = 0; otherWorker < 20; ++otherWorker)
                durationErrors.observe("queue", 1.5 * std::exp(error(random)));
            speed.observe(
                durationErrors.observe("queue", 1.5 * row.factor * std::exp(error(random))));
            everSlow = everSlow || speed.slow();
        }
        CHECK(everSlow == row.slow);
    }
}
