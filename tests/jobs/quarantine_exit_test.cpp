#include "jobs/take_over.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>

using namespace plantaingap;
using plantaingap::jobs::job_state;
using plantaingap::jobs::run_outcome;
using plantaingap::tests::fake_run;
using plantaingap::tests::milliseconds;
using plantaingap::tests::scheduler_world;

namespace {

constexpr milliseconds tickLength {50};
constexpr milliseconds soundRun {300};
constexpr milliseconds longRun {110'000};
constexpr std::int64_t capacity = 8'000;
constexpr std::int64_t taskSize = 500;
constexpr std::int64_t longSize = 5'000;
constexpr int hopelessTasks = 10;
// While there is room for a job twice over, nothing of it may be missing for longer.
constexpr milliseconds maxIdle {3'000};
// Dense jobs come with each tick, every sixth of them hopeless, and then one each second.
constexpr int denseJobs = 60;
constexpr int hopelessEach = 6;
constexpr int laterJobs = 10;
constexpr milliseconds laterInterval {1'000};
constexpr milliseconds drainTime {6'000};

enum class broken : std::uint8_t { None, One, All };

struct quarantine_row
{
    const char *name;
    // Of eight workers, those of the kind that the jobs require.
    int workersOfKind;
    // A run that began before all others is at work on each of them.
    bool longTasks;
    // Workers of the kind that fail all that they start for the first seconds.
    broken workers;
    bool takeOver;
};

constexpr milliseconds brokenTime {4'000};

const quarantine_row rows[] = {
    {"one worker of the kind", 1, true, broken::None, false},
    {"one worker of the kind, without long tasks", 1, false, broken::None, false},
    {"two workers of the kind", 2, true, broken::None, false},
    {"two workers of the kind, without long tasks", 2, false, broken::None, false},
    {"two workers of the kind, another leader", 2, true, broken::None, true},
    {"three workers of the kind", 3, true, broken::None, false},
    {"eight workers of the kind", 8, true, broken::None, false},
    {"eight workers of the kind, another leader", 8, true, broken::None, true},
    {"one worker that fails all for a time", 1, true, broken::All, false},
    {"two workers that fail all for a time", 2, true, broken::All, false},
    {"three workers that fail all for a time", 3, true, broken::All, true},
    {"one of two workers fails all for a time", 2, true, broken::One, false},
    {"one of eight workers fails all for a time", 8, true, broken::One, false},
};

std::string jobName(char prefix, int number)
{
    const auto text = std::to_string(number);
    return prefix + std::string(15 - text.size(), '0') + text;
}

class hopeless_world : public scheduler_world
{
public:
    explicit hopeless_world(const quarantine_row &row)
        : scheduler_world(8, {capacity, 262'144, 0})
        , m_row(row)
    {
        advanceStep = tickLength;
        for (int i = 0; i < row.workersOfKind; ++i)
            fleet["w" + std::to_string(i)].entry.labels[0] = "b";
    }

    void submitJob(char prefix, int number, std::uint32_t tasks, std::int64_t size)
    {
        auto created = step(tasks, size, prefix == 'c' ? 110'000 : 300);
        created.label = "b";
        // A job that is refused will never run.
        const auto result = submit(jobName(prefix, number), "quick", {created});
        settle();
        if (prefix == 'a' && result.status != jobs::submit_status::Refused)
            m_idle[jobName(prefix, number)] = milliseconds(0);
    }

    void tick()
    {
        elapsed += tickLength;
        for (auto &[id, worker] : fleet) {
            const auto runs = worker.active;
            for (const auto &[task, run] : runs) {
                if (elapsed - run.startedAt >= lengthOf(task))
                    end(id, task, fails(id, task) ? run_outcome::Failed : run_outcome::Done);
            }
        }
        renewAllLeases();
        settle();
        countIdle();
    }

    void run(milliseconds span)
    {
        for (auto left = span; left.count() > 0; left -= tickLength)
            tick();
    }

    std::uint32_t progressOf(const std::string &task, const fake_run &run) const override
    {
        return static_cast<std::uint32_t>(
            std::min<std::int64_t>((elapsed - run.startedAt) * 100 / lengthOf(task), 100));
    }

    void continueFrom(const hopeless_world &former)
    {
        m_idle = former.m_idle;
        m_longestIdle = former.m_longestIdle;
    }

    milliseconds longestIdle() const { return m_longestIdle; }
    std::size_t accepted() const { return m_idle.size(); }

    std::size_t completed() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_idle, [this](const auto &job) {
            return scheduler.state(job.first) == job_state::Completed
                   || (finished.contains(job.first)
                       && finished.at(job.first) == job_state::Completed);
        }));
    }

private:
    static milliseconds lengthOf(const std::string &task)
    {
        return task.starts_with("c") ? longRun : soundRun;
    }

    bool fails(const std::string &worker, const std::string &task) const
    {
        const bool isBroken =
            m_row.workers == broken::All || (m_row.workers == broken::One && worker == "w0");
        return task.starts_with("b") || (isBroken && elapsed < brokenTime);
    }

    // Room on the workers of the kind, by what is at work there.
    std::int64_t roomOfKind() const
    {
        std::int64_t room = 0;
        for (const auto &[id, worker] : fleet) {
            if (worker.entry.labels[0] != "b")
                continue;
            room += capacity;
            for (const auto &[task, run] : worker.active)
                room -= task.starts_with("c") ? longSize : taskSize;
        }
        return room;
    }

    void countIdle()
    {
        const bool room = roomOfKind() >= 2 * taskSize;
        for (auto &[job, idle] : m_idle) {
            const auto state = scheduler.state(job);
            const bool open = !finished.contains(job) && state && *state <= job_state::Running;
            idle = open && room && running(job) == 0 ? idle + tickLength : milliseconds(0);
            m_longestIdle = std::max(m_longestIdle, idle);
        }
    }

    const quarantine_row &m_row;
    // Accepted sound jobs, and for how long nothing of each has run while there was room.
    std::map<std::string, milliseconds> m_idle;
    milliseconds m_longestIdle {0};
};

} // namespace

// Guards against workers that stay quarantined while nothing can show that they are sound: hopeless
// jobs quarantine all workers of a kind, and a run that began before keeps the probes away
// (review/12).
TEST_CASE("Jobs start on quarantined workers while there is room and nothing of them runs")
{
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        auto world = std::make_unique<hopeless_world>(row);
        world->begin();
        if (row.longTasks)
            world->submitJob('c', 0, static_cast<std::uint32_t>(row.workersOfKind), longSize);
        world->run(milliseconds(500));
        for (int i = 1; i <= denseJobs; ++i) {
            if (i % hopelessEach == hopelessEach / 2)
                world->submitJob('b', i, hopelessTasks, taskSize);
            else
                world->submitJob('a', i, 1, taskSize);
            world->tick();
        }
        if (row.takeOver) {
            auto next = std::make_unique<hopeless_world>(row);
            tests::takeOver(*world, *next);
            next->continueFrom(*world);
            world = std::move(next);
        }
        for (int i = 1; i <= laterJobs; ++i) {
            world->submitJob('a', denseJobs + i, 1, taskSize);
            world->run(laterInterval);
        }
        world->run(drainTime);
        CHECK(world->longestIdle() <= maxIdle);
        CHECK(world->startedTwice.empty());
        // Its attempts may be used up by workers that fail all.
        if (row.workers == broken::None)
            CHECK(world->completed() == world->accepted());
    }
}
