#include "jobs/scheduler_world.h"
#include "jobs/take_over.h"

#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace plantaingap;
using plantaingap::tests::fake_run;
using plantaingap::tests::fake_worker;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

constexpr milliseconds reportInterval {100};
constexpr std::int64_t taskMilliCores = 4000;
constexpr int declaredMs = 2000;

struct replay_options
{
    bool apart = false;
    unsigned seed = 1;
    // Jobs a second of each of the three kinds.
    double rate = 2;
    bool thirdKind = true;
    // How many times as long runs of the first two kinds take while one of the other is beside
    // them.
    double factor = 1.8;
    int workers = 12;
    // Workers, from the first one on, each with a serving task whose tail is longer beside "b".
    std::uint32_t servers = 0;
};

constexpr milliseconds latencyTarget {100};

struct replay_figures
{
    int accepted = 0;
    int completed = 0;
    // From the submission to the end, in seconds, of the first two kinds and of the third.
    double pairTime = 0;
    double thirdTime = 0;
    // Times at which a task waited although a worker had room for it.
    int waitedBesideRoom = 0;
    std::uint64_t observations = 0;
    std::uint64_t found = 0;
    // Lines about it, and those that name the third kind.
    int foundLines = 0;
    int thirdFound = 0;
};

jobs::scheduler_options optionsOf(bool apart)
{
    jobs::scheduler_options options;
    options.keepInterferingApart = apart;
    return options;
}

// Workers whose runs of the kinds "a" and "b" slow each other down.
class interference_world : public scheduler_world
{
public:
    explicit interference_world(const replay_options &options)
        : scheduler_world(options.workers, {16'000, 32'768, 0}, std::nullopt,
                          optionsOf(options.apart))
        , m_options(options)
        , m_random(options.seed)
    {
        advanceStep = reportInterval;
    }

    std::uint32_t progressOf(const std::string &task, const fake_run & /*run*/) const override
    {
        const auto found = m_work.find(task);
        return found == m_work.end()
                   ? 0
                   : static_cast<std::uint32_t>(std::min(found->second * 100, 100.0));
    }

    double measureOf(const fake_worker &worker, const std::string &task) const override
    {
        if (!m_jobs.at(jobOf(task)).serves)
            return 0;
        std::normal_distribution<double> error(0.0, 0.1);
        const auto usual = static_cast<double>(latencyTarget.count()) / 2;
        return usual * std::exp(error(m_tailRandom))
               * (hasKind(worker, 'b') ? m_options.factor : 1);
    }

    // Submits a job of one step whose tasks take `size` times the declared duration.
    jobs::submit_status add(char kind, jobs::step_definition definition, double size)
    {
        auto id = std::to_string(++m_sent);
        id = std::string(16 - id.size(), '0') + id;
        definition.image = kind;
        const bool serves = definition.longRunning;
        const auto result = submit(id, "middle", {std::move(definition)});
        if (result.status == jobs::submit_status::AwaitingStore)
            m_jobs[id] = {kind, elapsed, size, serves};
        return result.status;
    }

    // Workers with a run of that kind.
    std::set<std::string> workersWith(char kind) const
    {
        std::set<std::string> found;
        for (const auto &[id, worker] : fleet) {
            if (hasKind(worker, kind))
                found.insert(id);
        }
        return found;
    }

    void start()
    {
        for (auto &[id, worker] : fleet)
            worker.entry.labels.push_back(id);
        begin();
        if (m_options.servers == 0)
            return;
        auto definition = step(m_options.servers, taskMilliCores, 0);
        definition.longRunning = true;
        definition.latencyTarget = latencyTarget;
        definition.maxPerWorker = 1;
        add('s', definition, 1);
    }

    void play(std::chrono::seconds span)
    {
        for (const auto end = elapsed + span; elapsed < end;) {
            submitDue();
            settle();
            countWaits();
            work();
            advance(reportInterval);
            collect();
        }
    }

    // Takes over from a former leader whose runs all have started.
    void continueFrom(const interference_world &former)
    {
        m_jobs = former.m_jobs;
        m_work = former.m_work;
        tests::takeOver(former, *this);
    }

    void stopTraffic() { m_options.rate = 0; }

    replay_figures figures() const
    {
        auto result = m_figures;
        const auto mean = [](const std::vector<double> &times) {
            return times.empty() ? 0.0
                                 : std::accumulate(times.begin(), times.end(), 0.0)
                                       / static_cast<double>(times.size());
        };
        result.pairTime = mean(m_pairTimes);
        result.thirdTime = mean(m_thirdTimes);
        result.completed = static_cast<int>(m_pairTimes.size() + m_thirdTimes.size());
        result.observations = scheduler.interference().counts().observations;
        result.found = scheduler.interference().counts().found;
        return result;
    }

private:
    struct sent_job
    {
        char kind;
        duration sentAt;
        // True duration relative to the declared one.
        double size;
        bool serves;
    };

    bool hasKind(const fake_worker &worker, char kind) const
    {
        return std::ranges::any_of(worker.active, [&](const auto &entry) {
            return m_jobs.at(jobOf(entry.first)).kind == kind;
        });
    }

    void submitDue()
    {
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        std::normal_distribution<double> error(0.0, 0.3);
        const auto chance = m_options.rate * std::chrono::duration<double>(reportInterval).count();
        for (const char kind : {'a', 'b', 'c'}) {
            // Drawn in any case, so that both replays of a seed get the same jobs.
            const bool due = uniform(m_random) < chance;
            const auto size = std::exp(error(m_random));
            if (!due || (kind == 'c' && !m_options.thirdKind))
                continue;
            const auto status = add(kind, step(1, taskMilliCores, declaredMs), size);
            m_figures.accepted += status == jobs::submit_status::AwaitingStore ? 1 : 0;
        }
    }

    static std::string jobOf(const std::string &task) { return task.substr(0, task.find('.')); }

    // Advances the runs by one interval and ends those that are done.
    void work()
    {
        const std::chrono::duration<double, std::milli> passed = reportInterval;
        for (auto &[id, worker] : fleet) {
            std::vector<std::string> done;
            for (const auto &[task, run] : worker.active) {
                const auto &job = m_jobs.at(jobOf(task));
                const bool slowed = (job.kind == 'a' && hasKind(worker, 'b'))
                                    || (job.kind == 'b' && hasKind(worker, 'a'));
                auto &workDone = m_work[task];
                if (job.serves) {
                    workDone = 1;
                    continue;
                }
                workDone +=
                    passed.count() / declaredMs / job.size / (slowed ? m_options.factor : 1.0);
                if (workDone >= 1)
                    done.push_back(task);
            }
            for (const auto &task : done)
                end(id, task, jobs::run_outcome::Done);
        }
    }

    void countWaits()
    {
        if (scheduler.load(now()).waitingTasks == 0)
            return;
        for (const auto &[id, worker] : scheduler.workers().all()) {
            if (worker->free().milliCores >= taskMilliCores)
                ++m_figures.waitedBesideRoom;
        }
    }

    void collect()
    {
        for (const auto &[id, state] : std::exchange(finished, {})) {
            const auto &job = m_jobs.at(id);
            const auto time = std::chrono::duration<double>(elapsed - job.sentAt).count();
            (job.kind == 'c' ? m_thirdTimes : m_pairTimes).push_back(time);
        }
        for (const auto &event : scheduler.takeEvents()) {
            if (event.event != "interference.found")
                continue;
            ++m_figures.foundLines;
            m_figures.thirdFound += std::ranges::any_of(
                event.fields, [](const auto &field) { return field.second == "c"; });
        }
    }

    replay_options m_options;
    std::mt19937 m_random;
    mutable std::mt19937 m_tailRandom {7};
    int m_sent = 0;
    std::map<std::string, sent_job> m_jobs;
    std::map<std::string, double> m_work;
    std::vector<double> m_pairTimes;
    std::vector<double> m_thirdTimes;
    replay_figures m_figures;
};

replay_figures replay(const replay_options &options, std::chrono::seconds span)
{
    interference_world world(options);
    world.start();
    world.play(span);
    return world.figures();
}

} // namespace

// Guards against a model that learns nothing from real reports, and against a placement that does
// not use it.
TEST_CASE("Callers of kinds that slow each other down get their results earlier")
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        CAPTURE(seed);
        const auto off = replay({.apart = false, .seed = seed}, std::chrono::seconds(240));
        const auto on = replay({.apart = true, .seed = seed}, std::chrono::seconds(240));
        MESSAGE("seed ", seed, ": mean seconds of the pair ", off.pairTime, " off, ", on.pairTime,
                " on; of the third kind ", off.thirdTime, " off, ", on.thirdTime, " on; accepted ",
                off.accepted, " off, ", on.accepted, " on; found ", on.found);
        CHECK(off.observations == 0);
        CHECK(off.found == 0);
        CHECK(on.found >= 2);
        CHECK(on.foundLines == static_cast<int>(on.found));
        CHECK(on.thirdFound == 0);
        CHECK(on.pairTime < off.pairTime);
        CHECK(on.waitedBesideRoom == 0);
    }
}

// Guards against false pairs that would change the placement for nothing.
TEST_CASE("Kinds that do not slow each other down are placed as without the feature")
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        CAPTURE(seed);
        const auto on =
            replay({.apart = true, .seed = seed, .factor = 1.0}, std::chrono::seconds(240));
        CHECK(on.observations > 0);
        CHECK(on.found == 0);
    }
}

// Guards against a task that waits, or a worker that stays unused, because of a pair.
TEST_CASE("On a full fleet nothing waits for a worker without the other kind")
{
    // Without the third kind, workers have room only beside one of the two.
    const std::pair<unsigned, bool> rows[] = {{1, true},  {2, true},  {3, true},
                                              {1, false}, {2, false}, {3, false}};
    for (const auto &[seed, thirdKind] : rows) {
        CAPTURE(seed);
        CAPTURE(thirdKind);
        const replay_options options {
            .apart = true, .seed = seed, .rate = 8, .thirdKind = thirdKind, .workers = 5};
        const auto on = replay(options, std::chrono::seconds(120));
        auto without = options;
        without.apart = false;
        const auto off = replay(without, std::chrono::seconds(120));
        MESSAGE("seed ", seed, ": completed ", off.completed, " off, ", on.completed, " on; found ",
                on.found);
        CHECK(on.found > 0);
        CHECK(off.waitedBesideRoom == 0);
        CHECK(on.waitedBesideRoom == 0);
    }
}

// Guards against a gang that is packed onto workers with the other kind, and against one that waits
// although there is room only there.
TEST_CASE("A gang prefers workers without the other kind, and starts on others too")
{
    for (const bool apart : {false, true}) {
        CAPTURE(apart);
        interference_world world({.apart = apart, .rate = 1.2, .workers = 4});
        world.start();
        world.play(std::chrono::seconds(120));
        world.stopTraffic();
        world.play(std::chrono::seconds(15));
        REQUIRE(world.running() == 0);
        REQUIRE(world.scheduler.interference().contains(
                    world.scheduler.interference().apartFrom("a"), "b")
                == apart);
        // The worker with "b" has the most room.
        const auto hold = [&world](char kind, const std::string &worker, std::uint32_t tasks) {
            auto definition = scheduler_world::step(tasks, taskMilliCores, declaredMs);
            definition.label = worker;
            world.add(kind, definition, 1000);
        };
        hold('b', "w0", 1);
        for (const auto *worker : {"w1", "w2", "w3"})
            hold('c', worker, 2);
        world.settle();
        REQUIRE(world.running() == 7);
        auto gang = scheduler_world::step(2, taskMilliCores, declaredMs);
        gang.gang = true;
        REQUIRE(world.add('a', gang, 1000) == jobs::submit_status::AwaitingStore);
        world.settle();
        CHECK(world.running() == 9);
        CHECK(world.workersWith('a').contains("w0") != apart);
        // All that is left, with the worker of "b".
        gang.tasks = 7;
        REQUIRE(world.add('a', gang, 1000) == jobs::submit_status::AwaitingStore);
        world.settle();
        CHECK(world.running() == 16);
        CHECK(world.workersWith('a').contains("w0"));
    }
}

// Guards against tails that are not compared, so that serving tasks stay beside what disturbs them.
TEST_CASE("A kind that lengthens the tails of serving tasks is kept apart from them")
{
    const std::pair<unsigned, double> rows[] = {{1, 1.0}, {2, 1.0}, {3, 1.0},
                                                {1, 1.8}, {2, 1.8}, {3, 1.8}};
    for (const auto &[seed, factor] : rows) {
        CAPTURE(seed);
        CAPTURE(factor);
        interference_world world({.apart = true,
                                  .seed = seed,
                                  .rate = 1.5,
                                  .factor = factor,
                                  .workers = 10,
                                  .servers = 6});
        world.start();
        world.play(std::chrono::seconds(300));
        const auto &model = world.scheduler.interference();
        const auto estimate = model.estimate("s", "b", world.now());
        REQUIRE(estimate);
        CAPTURE(estimate->slowDown);
        CAPTURE(estimate->standardError);
        CAPTURE(estimate->samples);
        CAPTURE(estimate->workers);
        CHECK(model.contains(model.apartFrom("s"), "b") == (factor > 1));
        CHECK_FALSE(model.contains(model.apartFrom("s"), "c"));
        CHECK(world.figures().waitedBesideRoom == 0);
    }
}

// Guards against runs whose beginning the leader has not seen: their progress since the last report
// of the former leader is unknown.
TEST_CASE("Runs of a former leader are not observed, and its pairs are not known")
{
    const replay_options options {.apart = true, .rate = 2};
    interference_world world(options);
    world.start();
    world.play(std::chrono::seconds(60));
    REQUIRE(world.scheduler.interference().counts().observations > 0);
    REQUIRE(world.running() > 0);
    interference_world next(options);
    next.stopTraffic();
    next.continueFrom(world);
    next.play(std::chrono::seconds(20));
    CHECK(next.running() == 0);
    CHECK(next.scheduler.interference().counts().observations == 0);
    CHECK(next.scheduler.interference().pairsApart() == 0);
}
