#include "deployment.h"
#include "stand_ins.h"

#include <boost/json/object.hpp>

// One hopeless job comes beside others of its kind, while long tasks are at work on their workers.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 8;
// Of these, workers of the kind that the jobs require.
constexpr int workersOfKind = 2;
// Sixty jobs within 3 s, one in twenty of them hopeless, then more jobs.
constexpr std::uint64_t denseJobs = 60;
constexpr std::uint64_t hopelessEach = 20;
constexpr std::int64_t denseIntervalMs = 50;
constexpr std::uint64_t laterJobs = 10;
constexpr std::int64_t laterIntervalMs = 1000;
// `finish_s`, after the end of the traffic, and how long nothing of a job may run while it could.
constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t idleMs = 3000;

json::array step(std::int64_t count, std::int64_t cpu, std::int64_t estimateMs)
{
    return {json::object {{"count", count},
                          {"cpu", cpu},
                          {"mem_mb", 256},
                          {"estimate_ms", estimateMs},
                          {"requires", "b"}}};
}

} // namespace

int runHopelessJob(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(2));
    const bool trouble = arguments.at(3) == "1";
    deployment cell(arguments);
    for (int i = 1; i <= workers; ++i) {
        deployment::worker made;
        made.id = "i-0" + std::to_string(i);
        made.rack = "r1-" + std::to_string((i + 1) / 2);
        made.kind = i <= workersOfKind ? "b" : "a";
        cell.startWorker(made);
    }
    if (!cell.startCell(3))
        return 2;
    // A long task on each worker of the kind; three of its eight cores are left.
    if (cell.submit(jobId(1'000'000), step(workersOfKind, 5000, 110'000), "110000", 0) != 200)
        return 2;
    sleepMs(2000);
    std::vector<std::string> accepted;
    for (std::uint64_t i = 1; i <= denseJobs + laterJobs; ++i) {
        const auto instance = i % deployment::instances;
        if (trouble && i <= denseJobs && i % hopelessEach == hopelessEach / 2)
            cell.submit(jobId(2'000'000 + i), step(10, 500, 300), "300 fails", instance);
        else if (cell.submit(jobId(i), step(1, 500, 300), "300", instance) == 200)
            accepted.push_back(jobId(i));
        sleepMs(i < denseJobs ? denseIntervalMs : laterIntervalMs);
    }
    sleepMs(finishMs + idleMs);
    std::uint64_t lost = 0;
    for (const auto &job : accepted) {
        const bool started = !cell.recorded("starts " + job + ".").empty();
        lost += cell.state(job, 1) != "completed" && !started ? 1 : 0;
    }
    record("accepted " + std::to_string(accepted.size()) + ", never started "
           + std::to_string(lost));
    if (lost == 0)
        return 0;
    record("BROKEN: LOST: of " + std::to_string(lost)
           + " jobs nothing runs, although the turn of a task has come and there is room");
    return 1;
}

} // namespace review
