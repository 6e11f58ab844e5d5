#include "deployment.h"
#include "stand_ins.h"

#include <boost/json/object.hpp>
#include <map>
#include <set>
#include <vector>

// A worker crashes while one of the accepted jobs has many tasks at work that checkpoint.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 8;
constexpr std::int64_t largeTasks = 2500;
constexpr std::uint64_t largeJob = 1'000'000;
// Jobs of one short task; one each intervalMs. The numbers below are of these jobs.
constexpr std::uint64_t smallJobs = 36;
constexpr std::int64_t intervalMs = 500;
constexpr std::uint64_t largeJobAt = 6;
// Jobs of two steps, whose first step is at work when the worker crashes.
constexpr std::uint64_t twoSteps = 3;
constexpr std::uint64_t twoStepsAt = 14;
constexpr std::uint64_t crashAt = 20;
constexpr std::uint64_t restartAt = 22;
// `finish_s`, after the end of the traffic.
constexpr std::int64_t finishMs = 14'000;

// How long nothing of a job may run while it could.
constexpr std::int64_t idleMs = 3000;

std::string twoStepJob(std::uint64_t number)
{
    return jobId(2'000'000 + number);
}

json::object step(std::int64_t count, std::int64_t cpu, std::int64_t estimateMs)
{
    return {{"count", count}, {"cpu", cpu}, {"mem_mb", 40}, {"estimate_ms", estimateMs}};
}

// Whether a run of the job has started, has not ended, and its worker has not been killed since.
bool isAtWork(const deployment &cell, const std::string &job)
{
    std::set<std::string> runs;
    for (const auto &line : cell.recorded("worker ")) {
        const auto id = line.substr(line.find("worker ") + 7, 4);
        const auto name = line.find(job);
        if (line.ends_with(" is killed"))
            std::erase_if(runs, [&id](const std::string &run) { return run.starts_with(id); });
        if (name == std::string::npos)
            continue;
        const auto end = line.find_first_of(" ,", line.find("run ") + 4);
        const auto run = id + line.substr(name, end - name);
        if (line.find(" starts ") != std::string::npos)
            runs.insert(run);
        else if (line.find(" ends ") != std::string::npos)
            runs.erase(run);
    }
    return !runs.empty();
}

// Sends all jobs and crashes the worker meanwhile; false if one was not accepted before that.
bool sendTraffic(deployment &cell, bool trouble)
{
    auto largeStep = step(largeTasks, 50, 110'000);
    largeStep["mem_mb"] = 300;
    largeStep["checkpoint"] = true;
    auto second = step(1, 500, 8000);
    second["after"] = json::array {0};
    for (std::uint64_t i = 1; i <= smallJobs; ++i) {
        if (i == largeJobAt
            && cell.submit(jobId(largeJob), json::array {largeStep}, "110000 saves", 0) != 200)
            return false;
        for (std::uint64_t job = 0; i == twoStepsAt && job < twoSteps; ++job) {
            if (cell.submit(twoStepJob(job), json::array {step(1, 500, 8000), second}, "8000", job)
                != 200)
                return false;
        }
        if (trouble && i == crashAt)
            cell.crashWorker("i-01");
        if (trouble && i == restartAt)
            cell.restartWorker("i-01", "a", 0);
        cell.submit(jobId(i), json::array {step(1, 500, 300)}, "300", i % deployment::instances);
        sleepMs(intervalMs);
    }
    return true;
}

} // namespace

int runLargeJob(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(2));
    deployment cell(arguments);
    for (int i = 1; i <= workers; ++i) {
        deployment::worker made;
        made.id = "i-0" + std::to_string(i);
        made.rack = "r1-" + std::to_string((i + 1) / 2);
        made.cpu = 64000;
        made.memory = 131072;
        cell.startWorker(made);
    }
    if (!cell.startCell(3) || !sendTraffic(cell, arguments.at(3) == "1"))
        return 2;
    sleepMs(finishMs);
    std::map<std::string, std::size_t> starts;
    for (std::uint64_t i = 0; i < twoSteps; ++i)
        starts[twoStepJob(i)] = cell.recorded("starts " + twoStepJob(i)).size();
    sleepMs(idleMs);
    std::uint64_t lost = 0;
    for (const auto &[job, before] : starts) {
        const auto state = cell.state(job, 1);
        const bool startedSince = cell.recorded("starts " + job).size() > before;
        const bool atWork = isAtWork(cell, job);
        record("job " + job + ": " + state + (atWork ? ", at work" : ", nothing runs"));
        lost += state != "completed" && !startedSince && !atWork ? 1 : 0;
    }
    if (lost == 0)
        return 0;
    record("BROKEN: LOST: of " + std::to_string(lost)
           + " jobs nothing runs, although the turn of a task has come and there is room");
    return 1;
}

} // namespace review
