#include "jobs/admission.h"
#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::submit_status;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

std::string identifier(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

// Many jobs of one kind arrive within two seconds, each with one task of half a worker.
struct burst_row
{
    const char *name;
    const char *queue;
    int jobs;
    // Bounds for the number of refused jobs.
    int minRefused;
    int maxRefused;
};

// Four workers of 16 cores complete eight such tasks of 1 s per second. The objective is 2 x 1 s
// plus 0.6 s; a late result is useful until three times the objective.
const burst_row bursts[] = {
    {"jobs within the capacity of the fleet are accepted", "middle", 30, 0, 0},
    {"jobs that would finish too late to be useful are refused", "middle", 200, 100, 190},
    {"quick jobs that would finish too late are refused", "quick", 200, 100, 190},
};

} // namespace

// Load: a burst far above the capacity of the fleet.
TEST_CASE("Jobs that cannot finish in useful time are refused immediately with a retry delay")
{
    for (const auto &row : bursts) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.begin();
        int refused = 0;
        for (int i = 0; i < row.jobs; ++i) {
            const auto submission =
                world.submit(identifier(i), row.queue, {scheduler_world::step(1, 8000, 1000)});
            if (submission.status == submit_status::Refused) {
                ++refused;
                CHECK(submission.retryAfterSeconds >= 1);
                CHECK(submission.retryAfterSeconds <= 8);
            }
            world.settle();
            world.elapsed += milliseconds(10);
        }
        CHECK(refused >= row.minRefused);
        CHECK(refused <= row.maxRefused);
        // Refused jobs are unknown and never run.
        world.advance(milliseconds(2000));
        std::size_t known = 0;
        for (int i = 0; i < row.jobs; ++i)
            known += world.scheduler.state(identifier(i)) ? 1 : 0;
        CHECK(known == static_cast<std::size_t>(row.jobs - refused));
        CHECK(world.running() <= known);
    }
}

// Load: large jobs wait; they must not cause quick jobs to be refused.
TEST_CASE("Quick jobs are accepted while larger ones wait")
{
    scheduler_world world;
    world.begin();
    for (int i = 0; i < 60; ++i)
        world.submit(identifier(i), "middle", {scheduler_world::step(1, 8000, 1000)});
    world.settle();
    const auto submission =
        world.submit(identifier(900), "quick", {scheduler_world::step(1, 2000, 500)});
    CHECK(submission.status == submit_status::AwaitingStore);
}

TEST_CASE("A job with a task that fits on no worker is refused")
{
    scheduler_world world;
    world.begin();
    CHECK(world.submit(identifier(1), "quick", {scheduler_world::step(1, 17'000)}).status
          == submit_status::Refused);
    auto labelled = scheduler_world::step(1, 1000);
    labelled.label = "no-such-kind";
    CHECK(world.submit(identifier(2), "quick", {labelled}).status == submit_status::Refused);
}

struct wide_gang_row
{
    const char *name;
    // Tasks of a whole worker each, on 60 workers of which the advisor allows 20.
    std::uint32_t tasks;
    double maxGangShare;
    submit_status status;
};

const wide_gang_row wideGangs[] = {
    {"a gang that fits the allowed workers is accepted", 8, 0.8, submit_status::AwaitingStore},
    {"a gang that is wider than the allowed workers is refused", 40, 0.8, submit_status::Refused},
    {"a gang that may be too wide is refused where the rest of the cell could hold it", 19, 0.8,
     submit_status::Refused},
    {"a gang that may be too wide is accepted where nothing else could hold it", 19, 1.2,
     submit_status::AwaitingStore},
    {"a gang that is wider than all workers is refused", 61, 1.2, submit_status::Refused},
};

// Load: gangs of up to 240 tasks in a partition whose policy allows a fraction of its workers. An
// accepted gang that never fits waits for ever beside idle workers (found on scale-1 of
// ctrs-sched-large, seed 139859104).
TEST_CASE("A gang that cannot fit the workers it is allowed is refused immediately")
{
    constexpr int workers = 60;
    const jobs::advisor_cost cost {std::chrono::microseconds(4'000), std::chrono::microseconds(10),
                                   milliseconds(1500)};
    for (const auto &row : wideGangs) {
        CAPTURE(std::string(row.name));
        jobs::scheduler_options options;
        options.maxGangShare = row.maxGangShare;
        scheduler_world world(workers, {16'000, 32'768, 0}, cost, options);
        for (int i = 0; i < workers; ++i) {
            if (i % 3 != 0)
                world.notAllowed.insert("w" + std::to_string(i));
        }
        world.begin();
        // Gangs from which the scheduler learns the share of allowed workers.
        auto gang = scheduler_world::step(4, 16'000, 200);
        gang.gang = true;
        for (int i = 0; i < 80; ++i) {
            world.submit(identifier(i), "large", {gang});
            world.settle();
            world.endRuns({}, jobs::run_outcome::Done);
            world.advance(milliseconds(500));
        }
        gang.tasks = row.tasks;
        const auto submission = world.submit(identifier(900), "large", {gang});
        CHECK(submission.status == row.status);
        if (row.status == submit_status::Refused)
            CHECK(submission.retryAfterSeconds == jobs::unsatisfiableRetrySeconds);
    }
}
