#ifndef PLANTAINGAP_TESTS_JOBS_GANG_LOAD_WORLD_H
#define PLANTAINGAP_TESTS_JOBS_GANG_LOAD_WORLD_H

#include "jobs/scheduler_world.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

// A scheduler to which gangs of one kind are submitted at an interval.
namespace plantaingap::tests {

inline std::string identifier(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

inline constexpr milliseconds gangRunTime {4000};
// Of a queue of this world with one step of gangRunTime: three times the objective.
inline constexpr milliseconds usefulSpan {(2 * 4000 + 600) * jobs::lateSpanFactor};
inline constexpr resources wholeWorkers {16'000, 32'768, 0};

inline jobs::step_definition gangOf(std::uint32_t tasks, const resources &demand)
{
    auto created =
        scheduler_world::step(tasks, demand.milliCores, static_cast<int>(gangRunTime.count()));
    created.demand = demand;
    created.gang = true;
    return created;
}

// Gangs of one kind arrive at an interval, more than can run one after the other.
struct gang_load_row
{
    const char *name;
    int workers;
    std::uint32_t tasks;
    resources demand;
    milliseconds interval;
    // Gangs of the load that run side by side.
    int sideBySide;
};

inline constexpr gang_load_row gangLoads[] = {
    {"gangs of two thirds of the workers", 60, 40, {16'000, 1000, 0}, milliseconds(2000), 1},
    {"gangs of just over half of the workers", 60, 31, {16'000, 1000, 0}, milliseconds(2000), 1},
    {"gangs of whole workers by memory", 60, 31, {6000, 17'000, 0}, milliseconds(2000), 1},
    {"gangs of two members to a worker by memory",
     60,
     62,
     {2000, 16'000, 0},
     milliseconds(2000),
     1},
    {"gangs of a fifth of the workers", 60, 12, {16'000, 1000, 0}, milliseconds(500), 5},
};

// A world in which gangs of one kind have arrived for a time.
class gang_load_world
{
public:
    explicit gang_load_world(const gang_load_row &row)
        : world(row.workers, wholeWorkers)
        , m_row(row)
    {
        world.runTime = gangRunTime;
        world.advanceStep = milliseconds(100);
        world.begin();
    }

    void tick()
    {
        world.elapsed += world.advanceStep;
        world.endDueRuns();
        world.renewAllLeases();
        world.settle();
    }

    void load(milliseconds span)
    {
        const auto until = world.elapsed + span;
        while (world.elapsed < until) {
            if (world.elapsed % m_row.interval < world.advanceStep)
                submitGang();
            tick();
        }
    }

    // Goes on without traffic.
    void run(milliseconds span)
    {
        const auto until = world.elapsed + span;
        while (world.elapsed < until)
            tick();
    }

    jobs::submit_status submitGang()
    {
        const auto id = identifier(++m_submitted);
        const auto status = world.submit(id, "large", {gangOf(m_row.tasks, m_row.demand)}).status;
        if (status != jobs::submit_status::Refused)
            ++accepted;
        return status;
    }

    std::size_t waitingGangs() const { return world.scheduler.waitingJobs("large"); }

    scheduler_world world;
    int accepted = 0;

private:
    const gang_load_row &m_row;
    int m_submitted = 0;
};

// Counts and times of the events by which the estimate is judged.
struct judged_starts
{
    int gangs = 0;
    long long worstError = 0;
    // The longest time from the acceptance of a gang to its start.
    long long longestWait = 0;

    void add(const std::vector<jobs::scheduler_event> &events)
    {
        for (const auto &event : events) {
            if (event.event != "gang.started")
                continue;
            ++gangs;
            std::map<std::string_view, std::string> fields(event.fields.begin(),
                                                           event.fields.end());
            const auto started = std::stoll(fields.at("started_ms"));
            worstError =
                std::max(worstError, std::abs(std::stoll(fields.at("predicted_ms")) - started));
            longestWait = std::max(longestWait, started);
        }
    }
};

} // namespace plantaingap::tests

#endif
