#include "jobs/starvation_rows.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <string>

namespace plantaingap::tests {

namespace {

using jobs::step_definition;
using steps = std::vector<step_definition>;

constexpr milliseconds warmUp {6000};
constexpr milliseconds loadDuration {18'000};
constexpr milliseconds impairmentEnd {5000};
// Cores of the load, on average, as a share of all cores.
constexpr double loadShare = 0.35;
constexpr double coresPerWorker = 16;

step_definition tasksOf(std::uint32_t tasks, std::int64_t milliCores, std::int64_t memoryMib,
                        int estimateMs)
{
    step_definition step;
    step.tasks = tasks;
    step.demand = {milliCores, memoryMib, 0};
    step.estimate = milliseconds(estimateMs);
    return step;
}

step_definition gangOf(std::uint32_t tasks, std::int64_t milliCores, int estimateMs)
{
    auto step = tasksOf(tasks, milliCores, 4000, estimateMs);
    step.gang = true;
    return step;
}

template<typename Change>
steps changed(step_definition step, Change change)
{
    change(step);
    return {step};
}

step_definition rareTasks(std::uint32_t tasks, std::int64_t milliCores, int estimateMs)
{
    auto step = tasksOf(tasks, milliCores, 4000, estimateMs);
    step.label = starvation_world::rareLabel;
    return step;
}

step_definition lasting(std::uint32_t tasks, std::int64_t milliCores)
{
    auto step = tasksOf(tasks, milliCores, 2000, 2000);
    step.longRunning = true;
    return step;
}

void submit(starvation_world &world, const char *queue, steps definition,
            std::uint32_t occurrences = 0)
{
    jobs::job_definition job;
    job.queue = queue;
    job.steps = std::move(definition);
    job.occurrences = occurrences;
    world.submitUntilAccepted(std::move(job));
}

// Submits with the rate at which the jobs of one step use that share of all cores.
void submitAtShare(starvation_world &world, const char *queue, const step_definition &step,
                   double share)
{
    const auto coreSeconds = static_cast<double>(step.tasks)
                             * static_cast<double>(step.demand.milliCores) / 1000
                             * static_cast<double>(step.estimate.count()) / 1000;
    const auto cores = coresPerWorker * static_cast<double>(world.workerCount());
    if (world.occursWithRate(share * cores / coreSeconds))
        submit(world, queue, {step});
}

void submitQuick(starvation_world &world)
{
    submitAtShare(world, "quick", tasksOf(3, 3000, 2000, 400 + world.randomNumber(400)), loadShare);
}

void submitWide(starvation_world &world)
{
    const auto tasks = static_cast<std::uint32_t>(10 + world.randomNumber(30));
    submitAtShare(world, "middle", tasksOf(tasks, 2000, 2000, 1000 + world.randomNumber(1000)),
                  loadShare);
}

void submitGangs(starvation_world &world)
{
    const auto tasks = static_cast<std::uint32_t>(2 + world.randomNumber(3));
    submitAtShare(world, "large", gangOf(tasks, 8000, 1500 + world.randomNumber(1500)), loadShare);
}

void submitBursts(starvation_world &world)
{
    constexpr std::int64_t period = 4000;
    const auto phase = std::chrono::duration_cast<milliseconds>(world.elapsed).count() % period;
    if (phase < period / 4) {
        submitAtShare(world, "quick", tasksOf(3, 3000, 2000, 600), 2 * loadShare);
    } else if (phase >= period / 2 && phase < period * 3 / 4) {
        submitAtShare(world, "middle", tasksOf(20, 2000, 2000, 1000), 2 * loadShare);
    }
}

void submitMixed(starvation_world &world)
{
    submitAtShare(world, "quick", tasksOf(3, 3000, 2000, 500), loadShare / 3);
    submitAtShare(world, "middle", tasksOf(12, 2000, 3000, 1500), loadShare / 3);
    submitAtShare(world, "large", gangOf(3, 7000, 2000), loadShare / 3);
}

// A task that lasts on each worker, and quick ones.
void submitLasting(starvation_world &world)
{
    if (world.elapsed <= starvation_world::tickLength) {
        auto step = lasting(static_cast<std::uint32_t>(world.workerCount()), 3000);
        step.maxPerWorker = 1;
        submit(world, "middle", {step});
    }
    submitAtShare(world, "quick", tasksOf(3, 3000, 2000, 500), loadShare / 3);
}

void submitNothing(starvation_world &) { }

void failOnce(starvation_world &world, const std::string &id)
{
    world.failRuns(id, 1);
}

void failThreeTimes(starvation_world &world, const std::string &id)
{
    world.failRuns(id + ".0.0.0", 3);
}

void crashOnce(starvation_world &world, const std::string &id)
{
    world.crashUnder(id, 1);
}

void crashTwice(starvation_world &world, const std::string &id)
{
    world.crashUnder(id, 2);
}

void failRareWorkers(starvation_world &world)
{
    world.failWorkers(starvation_world::rareLabel, impairmentEnd);
}

void slowRareWorkers(starvation_world &world)
{
    world.slowWorkers(starvation_world::rareLabel, 8, impairmentEnd);
}

steps rareGang()
{
    auto step = gangOf(2, 8000, 2000);
    step.label = starvation_world::rareLabel;
    return {step};
}

steps rareLasting()
{
    return changed(rareTasks(2, 4000, 2000), [](auto &step) { step.longRunning = true; });
}

// Submits jobs beside the step under test, in each tick.
struct load_kind
{
    const char *name;
    void (*submit)(starvation_world &world);
    int workers;
};

const step_kind sound[] = {
    {"plain", "quick", [] { return steps {tasksOf(2, 4000, 4000, 800)}; }, nullptr, nullptr},
    {"whole worker", "large", [] { return steps {tasksOf(1, 16'000, 30'000, 2000)}; }, nullptr,
     nullptr},
    {"whole workers", "middle", [] { return steps {tasksOf(3, 16'000, 30'000, 2000)}; }, nullptr,
     nullptr},
    {"wide", "middle", [] { return steps {tasksOf(20, 2000, 2000, 2000)}; }, nullptr, nullptr},
    {"long slack", "middle", [] { return steps {tasksOf(4, 4000, 4000, 10'000)}; }, nullptr,
     nullptr},
    {"gang", "large", [] { return steps {gangOf(4, 8000, 2000)}; }, nullptr, nullptr},
    {"gang of a single rack", "large",
     [] { return changed(gangOf(4, 8000, 2000), [](auto &step) { step.singleRack = true; }); },
     nullptr, nullptr},
    {"gang with one member a worker", "large",
     [] { return changed(gangOf(3, 6000, 2000), [](auto &step) { step.maxPerWorker = 1; }); },
     nullptr, nullptr},
    {"rare label", "middle", [] { return steps {rareTasks(2, 6000, 1500)}; }, nullptr, nullptr},
    {"gang with a rare label", "middle", rareGang, nullptr, nullptr},
    {"data rack", "middle",
     [] {
         return changed(tasksOf(4, 6000, 4000, 1500), [](auto &step) { step.dataRack = "r1-1"; });
     },
     nullptr, nullptr},
    {"one task a worker", "middle",
     [] {
         return changed(tasksOf(3, 4000, 4000, 1500), [](auto &step) { step.maxPerWorker = 1; });
     },
     nullptr, nullptr},
    {"long-running", "middle", [] { return steps {lasting(4, 4000)}; }, nullptr, nullptr},
    {"serving", "quick",
     [] {
         return changed(lasting(3, 4000),
                        [](auto &step) { step.latencyTarget = milliseconds(50); });
     },
     nullptr, nullptr},
    {"best effort", "middle",
     [] {
         return changed(tasksOf(6, 4000, 2000, 2000), [](auto &step) { step.bestEffort = true; });
     },
     nullptr, nullptr},
    {"lasting best effort", "middle",
     [] { return changed(lasting(4, 4000), [](auto &step) { step.bestEffort = true; }); }, nullptr,
     nullptr},
    {"second step of a chain", "middle",
     [] {
         steps chain {tasksOf(2, 4000, 4000, 1000), tasksOf(4, 6000, 4000, 1500)};
         chain[1].after = {0};
         return chain;
     },
     nullptr, nullptr},
    {"scheduled", "middle", [] { return steps {tasksOf(3, 4000, 4000, 1000)}; }, nullptr, nullptr,
     4},
    {"failed on three workers", "middle", [] { return steps {tasksOf(2, 4000, 4000, 800)}; },
     failThreeTimes, nullptr},
    {"failed gang", "large", [] { return steps {gangOf(3, 8000, 1500)}; }, failOnce, nullptr},
};

const step_kind suspected[] = {
    {"suspected", "quick", [] { return steps {tasksOf(1, 4000, 4000, 1000)}; }, crashOnce, nullptr},
    {"suspected step", "middle", [] { return steps {tasksOf(6, 4000, 4000, 1000)}; }, crashTwice,
     nullptr},
    {"suspected with a rare label", "middle", [] { return steps {rareTasks(1, 4000, 1000)}; },
     crashOnce, nullptr},
    {"suspected gang", "large", [] { return steps {gangOf(4, 8000, 2000)}; }, crashOnce, nullptr},
    {"suspected gang with a rare label", "middle", rareGang, crashOnce, nullptr},
};

const step_kind quarantined[] = {
    {"workers were quarantined", "middle", [] { return steps {rareTasks(1, 4000, 1000)}; }, nullptr,
     failRareWorkers},
    {"gang, workers were quarantined", "middle", rareGang, nullptr, failRareWorkers},
    {"long-running, workers were quarantined", "middle", rareLasting, nullptr, failRareWorkers},
};

const step_kind slow[] = {
    {"workers were slow", "middle", [] { return steps {rareTasks(2, 4000, 8000)}; }, nullptr,
     slowRareWorkers},
    {"gang, workers were slow", "middle", rareGang, nullptr, slowRareWorkers},
    {"long-running, workers were slow", "middle", rareLasting, nullptr, slowRareWorkers},
};

const load_kind loads[] = {
    {"nothing", submitNothing, 16},       {"quick tasks", submitQuick, 16},
    {"wide steps", submitWide, 16},       {"gangs", submitGangs, 16},
    {"bursts", submitBursts, 16},         {"a mix", submitMixed, 16},
    {"lasting tasks", submitLasting, 16}, {"a mix on few workers", submitMixed, 8},
};

const advisor_profile advisors[] = {
    {"no advisor", false},
    {"shares of the queues"},
    {"a quarter allowed", true, 0.25},
    {"nearly half allowed", true, 0.45},
    {"most allowed", true, 0.7},
    {"longer tickets", true, std::nullopt, milliseconds(2500)},
    {"slow", true, 0.45, milliseconds(2500), 2},
    {"every third call fails", true, 0.45, milliseconds(1500), 1, 3},
};

// Plays one job of that kind beside the load, and the end of the load.
void play(const step_kind &kind, const load_kind &load, const advisor_profile &advisor,
          std::uint64_t seed)
{
    starvation_world world(advisor, load.workers, seed);
    if (kind.before)
        kind.before(world);
    const auto runLoad = [&](milliseconds span) {
        for (auto left = span; left.count() > 0; left -= starvation_world::tickLength) {
            world.tick();
            load.submit(world);
            // Work that shows which workers fail or are slow.
            if (kind.before && world.elapsed < impairmentEnd && world.occursWithRate(3)) {
                submit(world, "middle", {rareTasks(2, 3000, 1000)});
                submit(world, "middle", {tasksOf(2, 3000, 1000, 1000)});
            }
        }
    };
    runLoad(warmUp);
    jobs::job_definition job;
    job.queue = kind.queue;
    job.steps = kind.steps();
    if (kind.occurrences > 0) {
        job.occurrences = kind.occurrences;
        job.firstDue = world.wall() + milliseconds(1000);
        job.interval = milliseconds(1500);
    }
    const auto id = world.submitUntilAccepted(std::move(job));
    if (kind.trouble)
        kind.trouble(world, id);
    runLoad(loadDuration);
    world.drain();
    CHECK(world.refused() == 0);
    for (const auto &step : world.starved) {
        CAPTURE(step);
        CHECK_MESSAGE(false, "a step has no run while there is capacity for it");
    }
    for (const auto &openJob : world.notCompleted) {
        CAPTURE(openJob);
        CHECK_MESSAGE(false, "a job is not completed after the load");
    }
}

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::stoull(text) : otherwise;
}

} // namespace

std::span<const step_kind> soundKinds()
{
    return sound;
}

std::span<const step_kind> suspectedKinds()
{
    return suspected;
}

std::span<const step_kind> quarantinedKinds()
{
    return quarantined;
}

std::span<const step_kind> slowKinds()
{
    return slow;
}

void checkStarvation(std::span<const step_kind> kinds)
{
    const auto first = numberFromEnvironment("STARVATION_FIRST_SEED", 1);
    const auto seeds = numberFromEnvironment("STARVATION_SEEDS", 0);
    std::size_t row = 0;
    for (auto seed = first; seed < first + std::max<std::uint64_t>(seeds, 1); ++seed) {
        CAPTURE(seed);
        for (const auto &kind : kinds) {
            CAPTURE(std::string(kind.name));
            for (const auto &load : loads) {
                CAPTURE(std::string(load.name));
                ++row;
                for (std::size_t i = 0; i < std::size(advisors); ++i) {
                    if (seeds == 0 && i != (row + row / std::size(loads)) % std::size(advisors))
                        continue;
                    CAPTURE(std::string(advisors[i].name));
                    play(kind, load, advisors[i], seed);
                }
            }
        }
    }
}

} // namespace plantaingap::tests
