#include "jobs/take_over.h"

#include <doctest/doctest.h>
#include <memory>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;
using plantaingap::tests::takeOver;

namespace {

const std::string id = "f000000000000001";

// After that many crashes a task is given up.
constexpr int rounds = jobs::crash_history::maxCrashes + 1;
constexpr milliseconds silentTime {10'000};
constexpr milliseconds settleTime {500};

struct silence_row
{
    const char *name;
    // The worker starts again under its id while it is silent.
    bool restarts;
    std::uint64_t crashes;
    job_state state;
};

constexpr silence_row rows[] = {
    {"only silent", false, 0, job_state::Running},
    {"starts again under its id", true, 1, job_state::Failed},
};

std::string workerOf(const scheduler_world &world)
{
    for (const auto &[name, worker] : world.fleet) {
        if (worker.reachable && !worker.active.empty())
            return name;
    }
    return {};
}

} // namespace

// Guards against sound jobs that are given up because their workers were silent for their leaders.
TEST_CASE("A worker that is silent over a change of leader counts as crashed only if it restarted")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        auto world = std::make_unique<scheduler_world>(6);
        world->advanceStep = milliseconds(100);
        world->begin();
        world->submit(id, "quick", {scheduler_world::step(1, 5000, 60'000)});
        world->settle();
        for (int round = 0; round < rounds; ++round) {
            world->advance(settleTime);
            const auto name = workerOf(*world);
            if (name.empty())
                break;
            world->fleet.at(name).reachable = false;
            auto next = std::make_unique<scheduler_world>(0);
            takeOver(*world, *next);
            world = std::move(next);
            world->advance(silentTime);
            if (row.restarts)
                world->crash(name);
            world->fleet.at(name).reachable = true;
            world->advance(settleTime);
            CHECK(world->scheduler.workerCrashes() == row.crashes);
        }
        CHECK(world->scheduler.state(id) == row.state);
    }
}
