#include "jobs/interference/interference_model.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace plantaingap;
using namespace plantaingap::jobs;

namespace {

// A change of the conditions that lasts from `from` seconds on.
struct pair_row
{
    const char *name;
    // How many times as long a run of the first kind takes beside the second, in the first 180 s
    // and after them.
    double factorBefore = 1.0;
    double factorAfter = 1.0;
    int workers = 12;
    // The first workers take that many times as long for all runs.
    int slowWorkers = 1;
    double slowWorker = 1.0;
    // Standard deviation between workers of the times of the first kind, as a natural logarithm;
    // the second kind is more often on some workers than on others.
    double workerSpread = 0;
    // All runs of the first kind take that many times their declared duration.
    double slowKind = 1.0;
    // The second kind is almost only on the slow workers.
    bool onSlowWorkers = false;
    // Standard deviation of the declaration errors, as a natural logarithm.
    double spread = 0.2;
    bool foundBefore = false;
    bool foundAfter = false;
};

const pair_row rows[] = {
    {.name = "a pair that costs half as much again is found",
     .factorBefore = 1.5,
     .factorAfter = 1.5,
     .foundBefore = true,
     .foundAfter = true},
    {.name = "also where declarations are off by a factor of two",
     .factorBefore = 2.0,
     .factorAfter = 2.0,
     .spread = 0.7,
     .foundBefore = true,
     .foundAfter = true},
    {.name = "declaration errors alone are no pair", .spread = 0.7},
    {.name = "a slow-down below both thresholds is no pair, however certain it is",
     .factorBefore = 1.04,
     .factorAfter = 1.04,
     .spread = 0.05},
    {.name = "a pair that stops interfering is let go", .factorBefore = 1.5, .foundBefore = true},
    {.name = "a pair that begins to interfere is found later",
     .factorAfter = 1.5,
     .foundAfter = true},
    {.name = "a worker that is slow for all is no pair, though the second kind is mostly there",
     .slowWorker = 1.8,
     .onSlowWorkers = true},
    {.name = "nor is a data centre that is a third slower",
     .slowWorkers = 4,
     .slowWorker = 1.33,
     .onSlowWorkers = true},
    {.name = "workers that suit a kind differently are no pair", .workerSpread = 0.3},
    {.name = "a kind that takes longer than declared is no pair", .slowKind = 3.0},
    {.name = "two workers are too few, since they may differ by something else",
     .factorBefore = 2.0,
     .factorAfter = 2.0,
     .workers = 2},
};

constexpr duration tick = std::chrono::milliseconds(250);
constexpr int runsPerTick = 6;

// Feeds whole runs of four kinds, of which the second is beside a third of all runs.
class model_feed
{
public:
    model_feed(const pair_row &row, unsigned seed)
        : m_row(row)
        , m_random(seed)
    {
        for (const auto *kind : {"first", "second", "third", "fourth"})
            numbers.push_back(*model.numberOf(kind, now));
        std::normal_distribution<double> spread(0.0, m_row.workerSpread);
        std::uniform_real_distribution<double> uniform(0.0, 0.7);
        for (int i = 0; m_row.workerSpread > 0 && i < m_row.workers; ++i)
            m_workers.emplace_back(std::exp(spread(m_random)), uniform(m_random));
    }

    bool anyExpected() const { return m_row.foundBefore || m_row.foundAfter; }

    void play(double factor, std::chrono::seconds span)
    {
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        std::normal_distribution<double> error(0.0, m_row.spread);
        for (const auto end = now + span; now < end; now += tick) {
            for (int i = 0; i < runsPerTick; ++i) {
                const auto worker = static_cast<std::uint64_t>(
                    uniform(m_random) * static_cast<double>(m_row.workers));
                const auto kind = static_cast<std::size_t>(uniform(m_random) * 4);
                kind_set beside = 0;
                for (std::size_t other = 0; other < numbers.size(); ++other) {
                    auto chance = 0.35;
                    if (other == 1 && m_row.onSlowWorkers && !isSlow(worker))
                        chance = 0.02;
                    if (other == 1 && !m_workers.empty())
                        chance = m_workers[worker].second;
                    if (uniform(m_random) < chance)
                        beside |= kind_set {1} << numbers[other];
                }
                auto slowness = std::exp(error(m_random));
                if (kind == 0)
                    slowness *= m_row.slowKind;
                if (kind == 0 && !m_workers.empty())
                    slowness *= m_workers[worker].first;
                if (isSlow(worker))
                    slowness *= m_row.slowWorker;
                if (kind == 0 && (beside & (kind_set {1} << numbers[1])) != 0)
                    slowness *= factor;
                model.observe({numbers[kind], beside, worker, slowness, 0.5}, now);
            }
            model.review(now);
        }
    }

    bool apart(const char *one, const char *other) const
    {
        return model.contains(model.apartFrom(one), other);
    }

    interference_model model;
    std::vector<std::uint32_t> numbers;
    time_point now {std::chrono::hours(1)};

private:
    bool isSlow(std::uint64_t worker) const
    {
        return worker < static_cast<std::uint64_t>(m_row.slowWorkers);
    }

    const pair_row &m_row;
    std::mt19937 m_random;
    // Factor on the times of the first kind, and how often the second kind is there.
    std::vector<std::pair<double, double>> m_workers;
};

} // namespace

// Guards against a decision by single slow runs, workers or kinds, and against one that never
// changes again.
TEST_CASE("Pairs of kinds are found, and let go, by their slow-down")
{
    for (const auto &row : rows) {
        for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
            CAPTURE(std::string(row.name));
            CAPTURE(seed);
            model_feed feed(row, seed);
            feed.play(row.factorBefore, std::chrono::seconds(180));
            CHECK(feed.apart("first", "second") == row.foundBefore);
            // Whoever is placed second must keep away from the first.
            CHECK(feed.apart("second", "first") == row.foundBefore);
            feed.play(row.factorAfter, std::chrono::seconds(240));
            CHECK(feed.apart("first", "second") == row.foundAfter);
            if (!feed.anyExpected())
                CHECK(feed.model.counts().found == 0);
        }
    }
}

// Guards against a third kind that is blamed because it is mostly there together with the cause.
TEST_CASE("A kind that accompanies the cause is not kept apart for long")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        interference_model model;
        time_point now {std::chrono::hours(1)};
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        std::normal_distribution<double> error(0.0, 0.2);
        const auto slow = *model.numberOf("slow", now);
        const auto cause = kind_set {1} << *model.numberOf("cause", now);
        const auto companion = kind_set {1} << *model.numberOf("companion", now);
        for (int i = 0; i < 2400; ++i) {
            now += std::chrono::milliseconds(100);
            kind_set beside = 0;
            if (uniform(random) < 0.4)
                beside = cause | (uniform(random) < 0.7 ? companion : 0);
            else if (uniform(random) < 0.15)
                beside = companion;
            const auto factor = (beside & cause) != 0 ? 1.6 : 1.0;
            const auto worker = static_cast<std::uint64_t>(uniform(random) * 10);
            model.observe({slow, beside, worker, factor * std::exp(error(random)), 1}, now);
            model.review(now);
        }
        CHECK(model.contains(model.apartFrom("slow"), "cause"));
        CHECK_FALSE(model.contains(model.apartFrom("slow"), "companion"));
    }
}

// Guards against a pair that stays apart for ever because nothing is observed beside each other any
// more.
TEST_CASE("A pair without new evidence is let go, and each change is told once")
{
    const pair_row row {.name = "", .spread = 0.05};
    model_feed feed(row, 1);
    feed.play(3.0, std::chrono::seconds(400));
    const auto found = feed.model.takeChanges();
    REQUIRE(found.size() == 1);
    CHECK(found[0].found);
    CHECK(found[0].kind == "first");
    CHECK(found[0].beside == "second");
    CHECK(found[0].estimate.workers >= 3);
    // The target of the page: three standard errors.
    CHECK(found[0].estimate.slowDown > 3 * found[0].estimate.standardError);
    CHECK(feed.model.pairsApart() == 1);
    for (int second = 0; second < 1200 && feed.model.pairsApart() > 0; ++second) {
        feed.now += std::chrono::seconds(1);
        feed.model.review(feed.now);
    }
    CHECK(feed.model.pairsApart() == 0);
    const auto gone = feed.model.takeChanges();
    REQUIRE(gone.size() == 1);
    CHECK_FALSE(gone[0].found);
    // Less than one run is left, however clear the pair was.
    CAPTURE(gone[0].estimate.slowDown);
    CAPTURE(gone[0].estimate.standardError);
    CHECK(gone[0].estimate.samples < 1);
    CHECK(gone[0].estimate.samples > 0.5);
    feed.model.review(feed.now + std::chrono::hours(1));
    CHECK(feed.model.pairs() == 0);
    CHECK(feed.model.kinds() == 0);
}

// Guards against memory that grows with the images that callers name.
TEST_CASE("Memory of the model is bounded")
{
    interference_model model;
    time_point now {std::chrono::hours(1)};
    std::size_t numbered = 0;
    for (int i = 0; i < 1000; ++i) {
        now += std::chrono::milliseconds(10);
        const auto kind = model.numberOf("image" + std::to_string(i), now);
        if (!kind)
            continue;
        ++numbered;
        model.observe({*kind, ~kind_set {0}, static_cast<std::uint64_t>(i), 1, 1}, now);
    }
    CHECK(numbered == interference_model::maxKinds);
    CHECK(model.pairs() == interference_model::maxPairs);
    // Kinds that are no longer at work make room.
    now += std::chrono::hours(1);
    model.review(now);
    CHECK(model.numberOf("another", now));
    CHECK(model.pairs() == 0);
}

namespace {

struct window_step
{
    int afterMs;
    kind_set beside;
    std::uint32_t percent;
};

struct window_row
{
    const char *name;
    std::vector<window_step> steps;
    // Percents of the spans that are returned.
    std::vector<std::uint32_t> gained;
};

const window_row windowRows[] = {
    {"reports join until enough progress is made", {{0, 1, 0}, {100, 1, 3}, {100, 1, 6}}, {6}},
    {"the next span begins where the last ended",
     {{0, 1, 10}, {100, 1, 20}, {100, 1, 24}, {100, 1, 25}},
     {10, 5}},
    {"an interval in which the neighbours changed is left out",
     {{0, 1, 0}, {100, 1, 4}, {100, 3, 9}, {100, 3, 14}},
     {5}},
    {"a gap between reports is left out", {{0, 1, 0}, {3000, 1, 50}, {100, 1, 56}}, {6}},
    {"a run that starts again begins a new span", {{0, 1, 50}, {100, 1, 2}, {100, 1, 8}}, {6}},
};

} // namespace

// Guards against time that is attributed to neighbours that were not there for all of it.
TEST_CASE("Reports of a run are joined only while its neighbours stay the same")
{
    for (const auto &row : windowRows) {
        CAPTURE(std::string(row.name));
        run_window window;
        time_point now {std::chrono::hours(1)};
        std::vector<std::uint32_t> gained;
        for (const auto &step : row.steps) {
            now += std::chrono::milliseconds(step.afterMs);
            if (const auto joined = window.add(step.beside, step.percent, 5, duration(1), now))
                gained.push_back(joined->gained);
        }
        CHECK(gained == row.gained);
    }
}
