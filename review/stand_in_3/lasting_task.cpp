#include "deployment.h"
#include "stand_ins.h"

#include <boost/json/object.hpp>
#include <map>
#include <set>

// A worker crashes twice under tasks that last, in a fleet that is more than half full.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 8;
constexpr int lastingTasks = 16;
constexpr int crashes = 2;
// How long all have been at work when a worker crashes, and how long it is down.
constexpr std::int64_t atWorkMs = 6000;
constexpr std::int64_t downMs = 2000;
// From 6 s after its last run on, a task may not stand still for 3 s. These and the 4 s before them
// have to be calm, which they are from the end of the crash on.
constexpr std::int64_t standstillMs = 9000;
constexpr std::int64_t calmMs = 7000;
constexpr std::int64_t watchMs = 16'000;

std::string taskOf(const std::string &line, const std::string &job)
{
    const auto begin = line.find(job);
    return line.substr(begin, line.find(' ', begin) - begin);
}

// The tasks of the job that run on the worker, from the record.
std::set<std::string> tasksOn(const deployment &cell, const std::string &worker,
                              const std::string &job)
{
    std::set<std::string> found;
    for (const auto &line : cell.recorded("worker " + worker + " ")) {
        if (line.ends_with(" is killed"))
            found.clear();
        if (line.find(job) == std::string::npos)
            continue;
        if (line.find(" starts ") != std::string::npos)
            found.insert(taskOf(line, job));
        else if (line.find(" ends ") != std::string::npos)
            found.erase(taskOf(line, job));
    }
    return found;
}

} // namespace

int runLastingTask(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(2));
    const bool trouble = arguments.at(3) == "1";
    deployment cell(arguments);
    for (int i = 1; i <= workers; ++i) {
        deployment::worker made;
        made.id = "i-0" + std::to_string(i);
        made.rack = "r1-" + std::to_string((i + 1) / 2);
        cell.startWorker(made);
    }
    if (!cell.startCell(3))
        return 2;
    const auto lasting = jobId(1);
    const json::object lastingStep {
        {"count", lastingTasks}, {"cpu", 500}, {"mem_mb", 256}, {"daemon", true}};
    const json::object batchStep {
        {"count", workers}, {"cpu", 4000}, {"mem_mb", 1024}, {"estimate_ms", 110000}};
    if (cell.submit(lasting, json::array {lastingStep}, "1000000 lasts", 0) != 200)
        return 2;
    sleepMs(1000);
    if (cell.submit(jobId(2), json::array {batchStep}, "110000", 1) != 200)
        return 2;
    std::int64_t longest = 0;
    std::string stands;
    for (int i = 0; i < crashes; ++i) {
        sleepMs(atWorkMs);
        const auto lost = tasksOn(cell, "i-01", lasting);
        if (lost.empty())
            return 2;
        std::map<std::string, std::size_t> starts;
        for (const auto &task : lost)
            starts[task] = cell.recorded("starts " + task + " ").size();
        if (!trouble)
            continue;
        const auto killedAt = steadyMs();
        cell.crashWorker("i-01");
        sleepMs(downMs);
        cell.restartWorker("i-01", "a", 0);
        const auto restartedAt = steadyMs();
        waitFor(watchMs, [&] {
            std::erase_if(starts, [&](const auto &each) {
                return cell.recorded("starts " + each.first + " ").size() > each.second;
            });
            if (!starts.empty() && steadyMs() - killedAt > standstillMs
                && steadyMs() - restartedAt > calmMs) {
                longest = std::max(longest, steadyMs() - killedAt);
                stands = starts.begin()->first;
            }
            return starts.empty();
        });
    }
    cell.state(lasting, 1);
    record("tasks that last and run on no worker for longer than allowed: "
           + (stands.empty() ? std::string("none")
                             : stands + ", for " + std::to_string(longest) + " ms"));
    if (stands.empty())
        return 0;
    record("BROKEN: LOST: nothing of a task that lasts has run for too long, and there is room");
    return 1;
}

} // namespace review
