#include "jobs/scheduler_world.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace plantaingap;
using plantaingap::tests::fake_run;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

const std::string lastingId = "00000000000000a1";
const std::string fillerId = "00000000000000b1";
constexpr std::int64_t capacity = 8'000;
constexpr int workers = 8;
constexpr milliseconds step50 {50};
constexpr milliseconds downTime {2'000};
constexpr milliseconds settleTime {2'000};
// How long a task that lasts may be away while there is room: 6 s after its last run, and 3 s.
constexpr milliseconds maxAway {9'000};
constexpr milliseconds watchTime {25'000};

struct crash_row
{
    const char *name;
    std::uint32_t lastingTasks;
    // Cores in thousandths that other runs hold on each worker.
    std::int64_t filler;
    // The same worker crashes so often, each time after its tasks have been at work for so long.
    int crashes;
    milliseconds atWork;
};

constexpr crash_row rows[] = {
    {"two crashes, two tasks on a worker, 5 of 8 cores in use", 16, 4'000, 2, milliseconds(6'000)},
    {"two crashes, four tasks on a worker, 6 of 8 cores in use", 32, 4'000, 2, milliseconds(6'000)},
    {"three crashes", 16, 4'000, 3, milliseconds(6'000)},
    {"two crashes in a fleet with room", 16, 1'000, 2, milliseconds(6'000)},
    {"two crashes soon after each other", 16, 4'000, 2, milliseconds(2'500)},
};

class lasting_world : public scheduler_world
{
public:
    explicit lasting_world(const crash_row &row)
        : scheduler_world(workers, {capacity, 262'144, 0})
    {
        advanceStep = step50;
        restartTime = downTime;
        newIdAfterCrash = false;
        begin();
        auto filler = step(workers, row.filler, 110'000);
        filler.maxPerWorker = 1;
        submit(fillerId, "large", {filler});
        settle();
        auto lasting = step(row.lastingTasks, 500);
        lasting.longRunning = true;
        lasting.maxPerWorker = row.lastingTasks / workers;
        submit(lastingId, "quick", {lasting});
        settle();
        m_tasks = row.lastingTasks;
    }

    // Advances and measures for how long each of the lasting tasks is away.
    void watch(milliseconds span)
    {
        for (auto left = span; left.count() > 0; left -= step50) {
            advance(step50);
            for (std::uint32_t index = 0; index < m_tasks; ++index) {
                const auto name = lastingId + ".0.0." + std::to_string(index);
                auto &away = m_away[name];
                away = isRunning(name) ? milliseconds(0) : away + step50;
                m_longestAway = std::max(m_longestAway, away);
            }
        }
    }

    milliseconds longestAway() const { return m_longestAway; }

    std::uint32_t progressOf(const std::string &task, const fake_run &run) const override
    {
        if (task.starts_with(lastingId))
            return elapsed - run.startedAt < milliseconds(300) ? 0 : 100;
        return static_cast<std::uint32_t>((elapsed - run.startedAt) / milliseconds(1'100));
    }

private:
    bool isRunning(const std::string &task) const
    {
        return std::ranges::any_of(
            fleet, [&task](const auto &entry) { return entry.second.active.contains(task); });
    }

    std::uint32_t m_tasks = 0;
    std::map<std::string, milliseconds> m_away;
    milliseconds m_longestAway {0};
};

} // namespace

// Guards against tasks that last and stand still after a second crash of their worker, although
// other workers have room (review/13).
TEST_CASE("Tasks that last are back within nine seconds after crashes of their worker")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        lasting_world world(row);
        world.watch(settleTime);
        REQUIRE(world.running(lastingId) == row.lastingTasks);
        for (int i = 0; i < row.crashes; ++i) {
            world.crashForAWhile("w0");
            world.watch(row.atWork + downTime);
        }
        world.watch(watchTime);
        CHECK(world.running(lastingId) == row.lastingTasks);
        CHECK(world.longestAway() <= maxAway);
        CHECK(world.startedTwice.empty());
    }
}
