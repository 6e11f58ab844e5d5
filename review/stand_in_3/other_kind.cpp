#include "deployment.h"
#include "stand_ins.h"

#include <boost/json/object.hpp>

// A worker crashes and starts again under its id, as another kind, while jobs wait that require its
// former kind.
namespace review {

namespace json = boost::json;

namespace {

constexpr int workers = 8;
// Of these, workers of the required kind.
constexpr int workersOfKind = 2;
constexpr std::uint64_t jobs = 24;
constexpr std::int64_t intervalMs = 500;
constexpr std::uint64_t crashAt = 8;
// The worker is down for two intervals. The list shows its new life so much later (`lag_ms`).
constexpr std::uint64_t restartAt = 10;
constexpr std::int64_t firstReportMs = 800;
constexpr std::int64_t finishMs = 14'000;

} // namespace

int runOtherKind(const std::vector<std::string> &arguments)
{
    openRecord(arguments.at(2));
    const bool trouble = arguments.at(3) == "1";
    deployment cell(arguments);
    for (int i = 1; i <= workers; ++i) {
        deployment::worker made;
        made.id = "i-0" + std::to_string(i);
        made.rack = "r1-" + std::to_string(i);
        made.kind = i <= workersOfKind ? "b" : "a";
        cell.startWorker(made);
    }
    if (!cell.startCell(3))
        return 2;
    // Half of a worker each, for two seconds: the two workers of the kind are busy with them.
    const json::array steps {json::object {
        {"count", 1}, {"cpu", 4000}, {"mem_mb", 256}, {"estimate_ms", 2000}, {"requires", "b"}}};
    for (std::uint64_t i = 1; i <= jobs; ++i) {
        if (trouble && i == crashAt)
            cell.crashWorker("i-01");
        if (trouble && i == restartAt)
            sleepMs(steadyMs() % 150);
        if (trouble && i == restartAt)
            cell.restartWorker("i-01", "a", firstReportMs);
        cell.submit(jobId(i), steps, "2000", i % deployment::instances);
        sleepMs(intervalMs);
    }
    sleepMs(finishMs);
    std::size_t starts = 0;
    for (const auto &line : cell.recorded(", kind a"))
        starts += line.find(" starts a0b1c2d3") != std::string::npos ? 1 : 0;
    record("starts on workers without the label: " + std::to_string(starts) + " of "
           + std::to_string(cell.recorded(" starts a0b1c2d3").size()));
    if (starts == 0)
        return 0;
    record("BROKEN: ROUTE: a task has started on a worker without the label in `requires`");
    return 1;
}

} // namespace review
