#include "jobs/scheduler_world.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::fake_run;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string gangId = "00000000000000c1";
constexpr resources wholeWorker {16'000, 32'768, 0};
constexpr int workers = 6;

struct straggler_row
{
    const char *name;
    // Runs on workers that are expected to come free later than those that the gang claims first.
    int laterRuns;
    // Of them so many end early.
    int endEarly;
    bool starts;
};

const straggler_row rows[] = {
    {"enough other workers come free", 4, 2, true},
    {"one too few", 4, 1, false},
    {"none", 4, 0, false},
};

// Runs whose progress has stopped at a tenth of their work, as those of a long tail seem to have.
class straggling_world : public scheduler_world
{
public:
    straggling_world()
        : scheduler_world(workers, wholeWorker,
                          jobs::advisor_cost {std::chrono::microseconds(1000),
                                              std::chrono::microseconds(10), milliseconds(1500)})
    { }

    std::uint32_t progressOf(const std::string &task, const fake_run &run) const override
    {
        const bool later = task.starts_with("00000000000000b");
        const auto expected = later ? milliseconds(60'000) : milliseconds(30'000);
        return static_cast<std::uint32_t>((elapsed - run.startedAt) * 100 / expected);
    }
};

} // namespace

// Guards against a gang that waits for the workers that it has claimed, where a run takes far
// longer than others, while workers that it is allowed stand free (LOST on a day of long-tailed
// tasks).
TEST_CASE("A claim far off moves to allowed workers that have room now")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        straggling_world world;
        world.begin();
        for (int i = 0; i < workers - row.laterRuns; ++i) {
            world.submit("00000000000000a" + std::to_string(i), "middle",
                         {scheduler_world::step(1, 16'000, 30'000)});
        }
        for (int i = 0; i < row.laterRuns; ++i) {
            world.submit("00000000000000b" + std::to_string(i), "middle",
                         {scheduler_world::step(1, 16'000, 60'000)});
        }
        world.advance(milliseconds(3000));
        REQUIRE(world.running() == workers);
        auto gang = scheduler_world::step(2, 16'000, 20'000);
        gang.gang = true;
        REQUIRE(world.submit(gangId, "quick", {gang}).status == jobs::submit_status::AwaitingStore);
        world.advance(milliseconds(2000));
        REQUIRE(world.running(gangId) == 0);
        for (int i = 0; i < row.endEarly; ++i)
            world.endRuns("00000000000000b" + std::to_string(i), jobs::run_outcome::Done);
        world.advance(milliseconds(3000));
        CHECK((world.running(gangId) == 2) == row.starts);
        CHECK(world.startedTwice.empty());
    }
}
