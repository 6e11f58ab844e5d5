#include "jobs/scheduler_world.h"
#include "jobs/take_over.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::jobs::submit_status;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::takeOver;

namespace {

const std::string id = "00000000000000a1";

constexpr resources fullCapacity {16'000, 32'768, 0};

void setCapacity(scheduler_world &world, const std::string &worker, resources capacity)
{
    world.fleet[worker].entry.capacity = capacity;
    world.list();
}

// The cores of all runs on a worker, in thousandths.
std::int64_t coresInUse(const scheduler_world &world, const std::string &worker,
                        std::int64_t perTask)
{
    return static_cast<std::int64_t>(world.fleet.at(worker).active.size()) * perTask;
}

struct shrink_row
{
    const char *name;
    bool gang;
    std::uint32_t tasks;
    resources shrunk;
    // Runs while the first worker is small, and once it has its full capacity again.
    std::size_t runningThen;
    std::size_t runningAtLast;
};

const shrink_row rows[] = {
    {"a worker without capacity", false, 4, {0, 0, 0}, 2, 4},
    {"a worker with half of its cores", false, 4, {8'000, 32'768, 0}, 3, 4},
    {"a worker without memory", false, 4, {16'000, 0, 0}, 2, 4},
    {"a member's worker", true, 4, {8'000, 32'768, 0}, 0, 4},
};

} // namespace

TEST_CASE("A start is not ordered when its worker shrinks while the start is being stored")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        scheduler_world world(2);
        world.begin();
        world.store = false;
        auto step = scheduler_world::step(row.tasks, 8'000);
        step.gang = row.gang;
        world.submit(id, "quick", {step});
        world.settle();
        REQUIRE(world.scheduler.job(id)->occupying == row.tasks);
        setCapacity(world, "w0", row.shrunk);
        world.store = true;
        const auto ordered = world.starts;
        world.settle();
        CHECK((!row.gang || world.starts == ordered));
        CHECK(coresInUse(world, "w0", 8'000) <= row.shrunk.milliCores);
        world.advance(milliseconds(1000));
        CHECK(coresInUse(world, "w0", 8'000) <= row.shrunk.milliCores);
        CHECK(world.running() == row.runningThen);
        setCapacity(world, "w0", fullCapacity);
        world.advance(milliseconds(1000));
        CHECK(world.running() == row.runningAtLast);
        CHECK(world.startedTwice.empty());
    }
}

TEST_CASE("A worker that shrank below its runs gets no further ones, and keeps those it has")
{
    for (const bool newLeader : {false, true}) {
        CAPTURE(newLeader);
        auto world = std::make_unique<scheduler_world>(1);
        world->begin();
        world->submit(id, "quick", {scheduler_world::step(3, 4'000)});
        world->settle();
        REQUIRE(world->running() == 3);
        setCapacity(*world, "w0", {8'000, 32'768, 0});
        if (newLeader) {
            auto next = std::make_unique<scheduler_world>(0);
            takeOver(*world, *next);
            world = std::move(next);
        }
        world->submit("00000000000000a2", "quick", {scheduler_world::step(1, 4'000)});
        world->advance(milliseconds(500));
        CHECK(world->running(id) == 3);
        CHECK(world->running() == 3);
        world->end("w0", id + ".0.0.0", run_outcome::Done);
        world->advance(milliseconds(500));
        CHECK(world->running() == 2);
        world->end("w0", id + ".0.0.1", run_outcome::Done);
        world->advance(milliseconds(500));
        CHECK(world->running("00000000000000a2") == 1);
    }
}

TEST_CASE("A job that fits only a worker at its full capacity is accepted and waits for it")
{
    for (const bool gang : {false, true}) {
        CAPTURE(gang);
        scheduler_world world(2);
        world.begin();
        for (const auto *worker : {"w0", "w1"})
            setCapacity(world, worker, {4'000, 32'768, 0});
        world.renewAllLeases();
        auto step = scheduler_world::step(2, 16'000);
        step.gang = gang;
        CHECK(world.submit(id, "quick", {step}).status == submit_status::AwaitingStore);
        world.advance(milliseconds(1000));
        CHECK(world.running() == 0);
        for (const auto *worker : {"w0", "w1"})
            setCapacity(world, worker, fullCapacity);
        world.advance(milliseconds(1000));
        CHECK(world.running() == 2);
    }
}
