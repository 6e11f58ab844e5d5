#include "jobs/scheduler_world.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::fake_run;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

constexpr const char *serviceId = "00000000000000f";
constexpr const char *soundId = "0000000000000001";
constexpr milliseconds tickLength {50};
constexpr milliseconds runLength {300};
// The job comes in the middle of a run, after so many halves of runs.
constexpr int halfRunsAhead = 5;
constexpr milliseconds minAhead {3000};
constexpr milliseconds maxTime {6000};

struct failing_row
{
    const char *name;
    int workers;
    // The failing tasks are declared as steps of so many jobs.
    int jobs;
    std::uint32_t tasksPerJob;
    const char *image;
    // The runs of the failing tasks take so long.
    milliseconds failsAfter;
};

const failing_row rows[] = {
    {"one service", 12, 1, 150, "", runLength},
    {"one service on few workers", 2, 1, 40, "", runLength},
    {"one service that fails late", 12, 1, 150, "", milliseconds(900)},
    {"one service that fails late, on few workers", 2, 1, 40, "", milliseconds(900)},
    {"one service that starts for long, on few workers", 2, 1, 40, "", milliseconds(12'000)},
    {"one service on one worker", 1, 1, 20, "", runLength},
    {"several services with one image", 12, 8, 20, "service", runLength},
    {"services of single tasks without an image", 12, 9, 1, "", runLength},
    {"several services without an image", 12, 8, 20, "", runLength},
};

class failing_service_world : public scheduler_world
{
public:
    explicit failing_service_world(const failing_row &row)
        : scheduler_world(row.workers, {64'000, 262'144, 0})
        , m_failsAfter(row.failsAfter)
    {
        begin();
        for (int i = 0; i < row.jobs; ++i) {
            auto service = step(row.tasksPerJob, 500);
            service.longRunning = true;
            service.image = row.image;
            submit(serviceId + std::to_string(i), "quick", {service});
        }
        settle();
    }

    void run(milliseconds span)
    {
        for (auto left = span; left.count() > 0; left -= tickLength)
            tick();
    }

    // Failed runs of the services so far.
    int failures() const { return m_failures; }

    void tick()
    {
        elapsed += tickLength;
        for (auto &[id, worker] : fleet) {
            const auto runs = worker.active;
            for (const auto &[task, run] : runs) {
                const bool fails = task.starts_with(serviceId);
                if (elapsed - run.startedAt < (fails ? m_failsAfter : runLength))
                    continue;
                end(id, task, fails ? run_outcome::Failed : run_outcome::Done);
                m_failures += fails ? 1 : 0;
            }
        }
        renewAllLeases();
        settle();
    }

    // The services are starting until they fail.
    std::uint32_t progressOf(const std::string &task, const fake_run &run) const override
    {
        return task.starts_with(serviceId) ? 0 : scheduler_world::progressOf(task, run);
    }

    std::size_t quarantined()
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : scheduler.workers().all())
            count += worker->health.quarantined() ? 1 : 0;
        return count;
    }

private:
    milliseconds m_failsAfter;
    int m_failures = 0;
};

} // namespace

// Guards against accepted jobs that never start because a failing service takes every probe of
// workers that its failures have quarantined (review/7).
TEST_CASE("A job starts and ends beside services whose tasks all fail")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        failing_service_world world(row);
        world.run(std::max(minAhead, halfRunsAhead * row.failsAfter / 2));
        world.submit(soundId, "large",
                     {scheduler_world::step(2, 1000), scheduler_world::step(15, 1000)});
        world.settle();
        world.run(maxTime);
        CHECK(world.scheduler.state(soundId) == job_state::Completed);
        const auto failures = world.failures();
        world.run(maxTime + row.failsAfter);
        CHECK_MESSAGE(world.failures() > failures, "the services are started again");
        CHECK(world.startedTwice.empty());
    }
}

// Guards against workers that are quarantined for the failures of one kind of task.
TEST_CASE("Tasks that fail on all workers quarantine few of them")
{
    failing_service_world world(rows[0]);
    world.run(minAhead);
    CHECK(world.quarantined() <= 2);
}

// Guards against a broken worker that hides behind a service that fails everywhere.
TEST_CASE("A worker that fails sound tasks is quarantined beside a failing service")
{
    failing_service_world world(rows[0]);
    const std::string broken = "w7";
    constexpr int jobs = 60;
    for (int i = 0; i < jobs; ++i) {
        const auto id = std::to_string(i);
        auto step = scheduler_world::step(11, 1000);
        step.maxPerWorker = 1;
        world.submit(std::string(16 - id.size(), 'a') + id, "middle", {step});
        world.settle();
        auto &worker = world.fleet[broken];
        const auto runs = worker.active;
        for (const auto &[task, run] : runs) {
            if (task.starts_with("a"))
                world.end(broken, task, run_outcome::Failed);
        }
        world.run(runLength + tickLength);
    }
    CHECK(world.scheduler.workers().find(broken)->health.quarantined());
}
