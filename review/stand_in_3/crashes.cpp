#include "deployment.h"
#include "stand_ins.h"

#include <boost/json/object.hpp>

// Workers crash one after the other under a job whose task has never failed.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 8;
constexpr int crashes = 3;
// How long the task has been at work when its worker crashes, and how long the worker is down.
constexpr std::int64_t atWorkMs = 4000;
constexpr std::int64_t downMs = 2000;
constexpr std::int64_t restartTimeoutMs = 15'000;
constexpr std::int64_t endTimeoutMs = 45'000;

// The worker that has started the run of the job, from the record.
std::string workerOf(const std::string &line)
{
    const auto begin = line.find("worker ") + 7;
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace

int runCrashes(const std::vector<std::string> &arguments)
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
    const auto job = jobId(1);
    const json::array steps {
        json::object {{"count", 1}, {"cpu", 2000}, {"mem_mb", 1024}, {"estimate_ms", 12000}}};
    if (cell.submit(job, steps, "12000", 0) != 200)
        return 2;
    for (std::size_t i = 0; i < crashes; ++i) {
        std::vector<std::string> starts;
        const bool started = waitFor(restartTimeoutMs, [&] {
            starts = cell.recorded("starts " + job);
            return starts.size() > i;
        });
        // After an earlier crash the job has ended.
        if (!started)
            break;
        if (!trouble)
            continue;
        const auto worker = workerOf(starts.back());
        sleepMs(atWorkMs);
        cell.crashWorker(worker);
        sleepMs(downMs);
        cell.restartWorker(worker, "a", 0);
    }
    std::string state;
    waitFor(endTimeoutMs, [&] {
        sleepMs(1000);
        state = cell.state(job, 1);
        return state == "completed" || state == "failed" || state == "cancelled";
    });
    const auto failures =
        cell.recorded("ends " + job + ".0.0.0").size() - cell.recorded(" done").size();
    record("state " + state + ", runs that ended as failed: " + std::to_string(failures));
    if (state == "failed" && failures == 0) {
        record("BROKEN: LOST: the job is shown as failed, and no run of its task has ended failed");
        return 1;
    }
    return state == "completed" ? 0 : 2;
}

} // namespace review
