#include "jobs/scheduler_world.h"
#include "jobs/take_over.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::takeOver;

namespace {

const std::string id = "00000000000000b1";
const std::string queueName = "quick";

jobs::cell_configuration configuration(std::uint64_t version, std::optional<std::uint32_t> attempts)
{
    jobs::cell_configuration created;
    created.version = version;
    created.queues = {{"large", "host", "/large/", "service", 1, 2, 2.0, milliseconds(600), {}}};
    if (attempts) {
        created.queues.push_back({queueName, "host", "/quick/", "service", 0, *attempts, 2.0,
                                  milliseconds(600), std::nullopt});
    }
    return created;
}

// Another leader takes over; it has read only the configuration without the queue.
void changeLeader(const scheduler_world &world, scheduler_world &next)
{
    next.scheduler = jobs::job_scheduler({});
    next.scheduler.configure(configuration(9, std::nullopt));
    takeOver(world, next);
    next.advance(milliseconds(500));
}

void removeRules(scheduler_world &world)
{
    auto &row = world.definitions.at(id);
    const auto from = row.find(R"(,"queue_rules":)");
    REQUIRE(from != std::string::npos);
    row = row.substr(0, from) + "}";
}

struct queue_row
{
    const char *name;
    // As the job is accepted, and in the last configuration that has the queue.
    std::uint32_t attemptsFirst;
    std::uint32_t attemptsLast;
    int leaderChanges;
    // The row of the job was written by a version that does not store the rules of its queue.
    bool earlierVersion;
    // Failures of the task while the queue is removed, and whether it is started again there.
    int failures;
    bool startedAgain;
    std::optional<job_state> ended;
};

const queue_row rows[] = {
    {"the leader stays", 3, 3, 0, false, 1, true, std::nullopt},
    {"another leader, one failure of three", 3, 3, 1, false, 1, true, std::nullopt},
    {"another leader, as many failures as attempts", 3, 3, 1, false, 3, false, job_state::Failed},
    {"two leaders more", 3, 3, 2, false, 2, true, std::nullopt},
    {"the attempts were raised before the queue was removed", 1, 3, 1, false, 2, true,
     std::nullopt},
    {"the attempts were lowered before the queue was removed", 3, 1, 1, false, 1, false,
     job_state::Failed},
    {"the rules are unknown", 3, 3, 1, true, 1, false, std::nullopt},
};

} // namespace

// Guards against a job that fails after one attempt because the leader does not know its queue.
TEST_CASE("A job of a removed queue keeps the queue's rules, whichever leader has it")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world;
        world.scheduler.configure(configuration(3, row.attemptsFirst));
        world.begin();
        world.submit(id, queueName, {scheduler_world::step(1, 4000)});
        world.settle();
        REQUIRE(world.running(id) == 1);
        if (row.attemptsLast != row.attemptsFirst)
            world.scheduler.configure(configuration(5, row.attemptsLast));
        world.scheduler.configure(configuration(9, std::nullopt));
        world.settle();
        if (row.earlierVersion)
            removeRules(world);
        scheduler_world leaders[2];
        auto *last = &world;
        for (int i = 0; i < row.leaderChanges; ++i) {
            changeLeader(*last, leaders[i]);
            last = &leaders[i];
        }
        for (int i = 0; i < row.failures; ++i) {
            REQUIRE(last->endRuns(id, run_outcome::Failed) == 1);
            last->advance(milliseconds(1000));
        }
        CHECK(last->running(id) == (row.startedAgain ? 1 : 0));
        if (row.ended) {
            CHECK(last->finished.at(id) == *row.ended);
            continue;
        }
        CHECK_FALSE(last->finished.contains(id));
        last->scheduler.configure(configuration(11, row.attemptsLast));
        last->advance(milliseconds(1000));
        CHECK(last->endRuns(id, run_outcome::Done) == 1);
        last->advance(milliseconds(1000));
        REQUIRE(last->finished.contains(id));
        CHECK(last->finished.at(id) == job_state::Completed);
        CHECK(last->startedTwice.empty());
    }
}

TEST_CASE("The rules of a queue are stored again only if they have changed")
{
    scheduler_world world;
    world.scheduler.configure(configuration(3, 3));
    world.begin();
    world.submit(id, queueName, {scheduler_world::step(1, 4000)});
    world.settle();
    const auto before = world.definitions.at(id);
    world.scheduler.configure(configuration(5, 3));
    world.scheduler.configure(configuration(7, std::nullopt));
    world.settle();
    CHECK(world.definitions.at(id) == before);
    world.scheduler.configure(configuration(9, 2));
    world.scheduler.configure(configuration(11, std::nullopt));
    world.settle();
    CHECK(world.definitions.at(id) != before);
    CHECK(jobs::decodeJob(world.definitions.at(id))->queueRecord->queue.attempts == 2);
}
