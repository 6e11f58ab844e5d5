#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

// Workers with this label do not respond, so what needs it waits.
const std::string awayLabel = "away";
const std::string presentLabel = "present";

enum class job_kind : std::uint8_t {
    // One task that waits.
    Waits,
    // One task at work that does not end.
    AtWork,
    // One step at work and one beside it that waits.
    HalfAtWork,
    // Two steps that wait.
    WaitsTwice,
    // A long-running task at work.
    Serves,
};

// A job that is submitted at a time; its estimate decides its objective.
struct submitted_job
{
    char name;
    job_kind kind;
    milliseconds at;
    milliseconds estimate;
};

struct order_row
{
    const char *name;
    std::vector<submitted_job> jobs;
    std::size_t maxJobs;
    // Names of the jobs that are explained, in order, 10 s after the start.
    std::string explained;
};

// The objective of a step is twice its estimate and 0.6 s.
constexpr milliseconds quick {500};
constexpr milliseconds slow {60'000};

const order_row orderRows[] = {
    {"a waiting job goes before jobs at work that are longer past their objective",
     {{'1', job_kind::AtWork, milliseconds(0), quick},
      {'2', job_kind::AtWork, milliseconds(0), quick},
      {'3', job_kind::Waits, milliseconds(3000), quick}},
     2,
     "31"},
    {"of waiting jobs the one longest past its objective is first",
     {{'1', job_kind::Waits, milliseconds(2000), quick},
      {'2', job_kind::Waits, milliseconds(0), quick},
      {'3', job_kind::Waits, milliseconds(1000), quick}},
     4,
     "231"},
    {"a job with a step that waits beside one at work counts as waiting",
     {{'1', job_kind::AtWork, milliseconds(0), quick},
      {'2', job_kind::HalfAtWork, milliseconds(1000), quick}},
     1,
     "2"},
    {"there are no more lines than the bound",
     {{'1', job_kind::Waits, milliseconds(0), quick},
      {'2', job_kind::Waits, milliseconds(500), quick},
      {'3', job_kind::Waits, milliseconds(1000), quick},
      {'4', job_kind::Waits, milliseconds(1500), quick},
      {'5', job_kind::Waits, milliseconds(2000), quick}},
     4,
     "1234"},
    {"a job with several steps that wait takes one line",
     {{'1', job_kind::WaitsTwice, milliseconds(0), quick},
      {'2', job_kind::Waits, milliseconds(500), quick}},
     4,
     "12"},
    {"a job within its objective takes no line",
     {{'1', job_kind::Waits, milliseconds(0), slow},
      {'2', job_kind::Waits, milliseconds(500), quick}},
     4,
     "2"},
    {"a long-running job at work takes no line",
     {{'1', job_kind::Serves, milliseconds(0), quick},
      {'2', job_kind::AtWork, milliseconds(0), quick}},
     4,
     "2"},
};

std::vector<jobs::step_definition> stepsOf(const submitted_job &job)
{
    const auto step = [&job](const std::string &label) {
        auto created = scheduler_world::step(1, 500, static_cast<int>(job.estimate.count()));
        created.label = label;
        created.longRunning = job.kind == job_kind::Serves;
        return created;
    };
    switch (job.kind) {
    case job_kind::Waits:
        return {step(awayLabel)};
    case job_kind::WaitsTwice:
        return {step(awayLabel), step(awayLabel)};
    case job_kind::HalfAtWork:
        return {step(presentLabel), step(awayLabel)};
    case job_kind::AtWork:
    case job_kind::Serves:
        break;
    }
    return {step(presentLabel)};
}

std::string idOf(char name)
{
    return std::string(15, '0') + name;
}

} // namespace

// Guards against a log in which jobs at work take the lines of a job that never runs.
TEST_CASE("Overdue jobs that wait are explained before those at work")
{
    for (const auto &row : orderRows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(2);
        world.fleet["w0"].entry.labels.push_back(presentLabel);
        world.fleet["w1"].entry.labels.push_back(awayLabel);
        world.fleet["w1"].reachable = false;
        world.begin();
        for (; world.elapsed < milliseconds(10'000); world.advance(milliseconds(500))) {
            for (const auto &job : row.jobs) {
                if (job.at == world.elapsed)
                    REQUIRE(world.submit(idOf(job.name), "large", stepsOf(job)).status
                            == jobs::submit_status::AwaitingStore);
            }
            world.settle();
        }
        std::string explained;
        for (const auto &line : world.scheduler.explainOverdue(row.maxJobs, world.now())) {
            explained += line.job.back();
            CHECK(line.why.starts_with(line.job));
        }
        CHECK(explained == row.explained);
    }
}
