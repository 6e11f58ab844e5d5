#include "deployment.h"
#include "stand_ins.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <thread>

// Many jobs are cancelled at once, whose tasks run on one worker.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 6;
// A quarter of the jobs is cancelled, whose tasks fit on one worker of 64 cores.
constexpr std::uint64_t jobs = 80;
constexpr std::uint64_t cancelledJobs = 20;
constexpr std::int64_t tasksOfJob = 50;
constexpr std::int64_t cpuOfTask = 60;
// Between regions: 30 ms each way.
constexpr std::int64_t roundTripMs = 60;
constexpr std::int64_t startMs = 30'000;
// `cancel_ms` and `stop_ms`; the workers stop a run within 100 ms.
constexpr std::int64_t allowedMs = 3200;
constexpr std::int64_t watchMs = 12'000;

// The milliseconds of a line of the record.
std::int64_t timeOf(const std::string &line)
{
    return std::stoll(line.substr(0, line.find('.')) + line.substr(line.find('.') + 1, 3));
}

} // namespace

int runCancelledJobs(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(2));
    const bool trouble = arguments.at(3) == "1";
    deployment cell(arguments);
    for (int i = 1; i <= workers; ++i) {
        deployment::worker made;
        made.id = "i-0" + std::to_string(i);
        made.rack = "r1-" + std::to_string(i);
        made.cpu = 64000;
        made.memory = 131072;
        made.roundTripMs = roundTripMs;
        cell.startWorker(made);
    }
    if (!cell.startCell(3))
        return 2;
    const json::array steps {json::object {
        {"count", tasksOfJob}, {"cpu", cpuOfTask}, {"mem_mb", 64}, {"estimate_ms", 100'000}}};
    for (std::uint64_t i = 1; i <= jobs; ++i) {
        if (cell.submit(jobId(i), steps, "100000", i % deployment::instances) != 200)
            return 2;
    }
    sleepMs(startMs);
    std::vector<std::int64_t> acknowledgedAt(jobs + 1);
    std::vector<std::thread> clients;
    for (std::uint64_t i = 1; trouble && i <= cancelledJobs; ++i) {
        clients.emplace_back([&cell, &acknowledgedAt, i] {
            if (cell.cancel(jobId(i), i % deployment::instances) == 200)
                acknowledgedAt[i] = wallMs();
        });
    }
    for (auto &client : clients)
        client.join();
    sleepMs(watchMs);
    std::uint64_t tooLong = 0;
    std::int64_t longest = 0;
    for (std::uint64_t i = 1; i <= jobs; ++i) {
        for (const auto &line : cell.recorded(" ends " + jobId(i))) {
            const auto after = timeOf(line) - acknowledgedAt[i];
            if (acknowledgedAt[i] == 0)
                continue;
            longest = std::max(longest, after);
            tooLong += after > allowedMs ? 1 : 0;
        }
    }
    record("tasks that ran " + std::to_string(allowedMs) + " ms after the cancel was acknowledged: "
           + std::to_string(tooLong) + ", the last one for " + std::to_string(longest) + " ms");
    if (tooLong == 0)
        return 0;
    record("BROKEN: UNASKED: tasks of a cancelled job run on");
    return 1;
}

} // namespace review
