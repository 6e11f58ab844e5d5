#include "deployment.h"
#include "stand_ins.h"

#include <boost/json/object.hpp>

// The leader is lost for good, with its machine, and an empty instance comes for it, again and
// again.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 4;
constexpr int losses = 10;
constexpr std::int64_t lossIntervalMs = 5000;
constexpr std::int64_t replacementMs = 2000;
constexpr std::int64_t jobIntervalMs = 250;
// Nine tasks of a quarter of a core for each worker.
constexpr std::int64_t tasksOfJob = 36;
// `finish_s`, after the end of the traffic, and how long nothing of a job may run while it could.
constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t idleMs = 3000;

} // namespace

int runLostLeaders(const std::vector<std::string> &arguments)
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
    const json::array steps {json::object {{"count", tasksOfJob},
                                           {"cpu", 250},
                                           {"mem_mb", 128},
                                           {"estimate_ms", 400},
                                           {"max_per_server", 9}}};
    std::vector<std::size_t> living {0, 1, 2};
    std::vector<std::string> accepted;
    int lost = 0;
    auto nextLoss = steadyMs() + lossIntervalMs;
    std::int64_t replaceAt = 0;
    const auto end = steadyMs() + (losses + 1) * lossIntervalMs;
    for (std::uint64_t number = 1; steadyMs() < end; ++number) {
        if (trouble && lost < losses && replaceAt == 0 && steadyMs() >= nextLoss) {
            if (const auto leading = cell.leader()) {
                cell.freezeInstance(*leading);
                std::erase(living, *leading);
                ++lost;
                nextLoss = steadyMs() + lossIntervalMs;
                replaceAt = steadyMs() + replacementMs;
            }
        }
        if (replaceAt != 0 && steadyMs() >= replaceAt) {
            living.push_back(cell.startInstance());
            replaceAt = 0;
        }
        if (cell.submit(jobId(number), steps, "400", living[number % living.size()]) == 200)
            accepted.push_back(jobId(number));
        sleepMs(jobIntervalMs);
    }
    sleepMs(finishMs);
    const auto runsBefore = cell.recorded("starts a0b1c2d3").size();
    sleepMs(idleMs);
    const auto runsAfter = cell.recorded("starts a0b1c2d3").size();
    std::uint64_t open = 0;
    for (const auto &job : accepted)
        open += cell.state(job, living.front()) != "completed" ? 1 : 0;
    record("leaders lost " + std::to_string(lost) + ", accepted " + std::to_string(accepted.size())
           + ", not completed " + std::to_string(open) + ", starts in the last 3 s "
           + std::to_string(runsAfter - runsBefore));
    if (open == 0)
        return 0;
    if (runsAfter != runsBefore)
        return 2;
    record("BROKEN: LOST: of " + std::to_string(open)
           + " jobs nothing runs, although the turn of a task has come and there is room");
    return 1;
}

} // namespace review
