#include "cell.h"
#include "scenario.h"

#include <algorithm>

// A service is handed in as tasks that last, and its tasks fail some time after each start. Beside
// it clients hand in short jobs and one job of many short steps, which must all go on.
namespace review {

namespace {

using std::chrono::milliseconds;

struct service_case
{
    int tasks = 0;
    // Thousandths of a core that a task asks for; all tasks together leave over half of the workers
    // free.
    int cpu = 0;
    milliseconds failsAfter {0};
    milliseconds trafficTime {0};
    int chainSteps = 0;
    // How long the service has been there when the other jobs come.
    milliseconds ahead {0};
};

// So many failures that the record of the service grows by some kilobytes a second.
constexpr service_case manyFailures {
    900, 250, milliseconds(2000), milliseconds(70'000), 55, milliseconds(0)};
// Fewer tasks that fail while they start.
constexpr service_case failuresAtStart {
    150, 500, milliseconds(300), milliseconds(20'000), 15, milliseconds(3000)};

constexpr milliseconds stepTime {1000};
constexpr milliseconds shortTime {300};
constexpr milliseconds trafficInterval {1000};
// finish_s, after the end of the traffic; then for 3 s nothing runs of a job that is not done.
constexpr milliseconds finishTime {14'000};
constexpr milliseconds idleTime {3'000};
constexpr milliseconds samplingInterval {50};

const std::string serviceId = jobId(1);
const std::string chainId = jobId(2);

std::string service(const service_case &wanted)
{
    return R"({"spec":"service","steps":[{"count":)" + std::to_string(wanted.tasks) + R"(,"cpu":)"
           + std::to_string(wanted.cpu)
           + R"(,"mem_mb":128,"estimate_ms":1000,"daemon":true,"image":"service"}]})";
}

std::string chain(int length)
{
    std::string steps;
    for (int i = 0; i < length; ++i) {
        steps += i > 0 ? "," : "";
        steps += R"({"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":1000)";
        steps += i > 0 ? ",\"after\":[" + std::to_string(i - 1) + "]}" : "}";
    }
    return R"({"spec":"chain","steps":[)" + steps + "]}";
}

std::string shortJob()
{
    return R"({"spec":"short","steps":[{"count":2,"cpu":1000,"mem_mb":256,"estimate_ms":300}]})";
}

behaviour behaviourOf(const std::string &task, std::optional<milliseconds> failsAfter)
{
    if (task.starts_with(chainId))
        return {stepTime, "done"};
    if (!task.starts_with(serviceId))
        return {shortTime, "done"};
    return failsAfter ? behaviour {failsAfter, "failed"} : behaviour {};
}

// Whether a worker runs a task of the job.
bool runsAnywhere(const cell &small, const std::string &id)
{
    return std::ranges::any_of(small.workers(), [&id](const auto &one) {
        return std::ranges::any_of(one->tasks(),
                                   [&id](const std::string &task) { return task.starts_with(id); });
    });
}

void recordStore(cell &small)
{
    small.log().write("store: " + std::to_string(small.rows().committed())
                      + " transactions done; largest row offered "
                      + std::to_string(small.rows().largestRow()) + " bytes; refused for size "
                      + std::to_string(small.rows().refusedForSize()));
}

// The accepted jobs that are not shown as completed and of which nothing runs for the whole span.
asio::awaitable<std::vector<std::string>> idleJobs(cell &small, std::vector<std::string> accepted)
{
    std::vector<std::string> open;
    for (const auto &id : accepted) {
        auto shown = co_await small.state(small.queueAt(0), id);
        if (shown.empty())
            shown = co_await small.state(small.queueAt(0), id);
        if (shown != "completed")
            open.push_back(id);
    }
    const auto until = steady_clock::now() + idleTime;
    while (steady_clock::now() < until) {
        std::erase_if(open, [&small](const auto &id) { return runsAnywhere(small, id); });
        co_await sleepFor(small.context(), samplingInterval);
    }
    co_return open;
}

asio::awaitable<verdict> play(asio::io_context &context, record &log, service_case wanted,
                              bool trouble)
{
    deployment shape;
    shape.queues = {{"jobs", 1, 3, 4.0, 3000}};
    const auto failsAfter = trouble ? std::optional(wanted.failsAfter) : std::nullopt;
    const auto plan = [failsAfter](const std::string &task, unsigned) {
        return behaviourOf(task, failsAfter);
    };
    const auto small = std::make_unique<cell>(context, log, shape, plan);
    if (!co_await small->start())
        co_return verdict::NotRun;
    const auto &queue = small->queueAt(0);
    if (!co_await small->submit(queue, serviceId, service(wanted)))
        co_return verdict::NotRun;
    co_await sleepFor(context, wanted.ahead);
    if (!co_await small->submit(queue, chainId, chain(wanted.chainSteps)))
        co_return verdict::NotRun;
    std::vector<std::string> accepted {chainId};
    const auto end = steady_clock::now() + wanted.trafficTime;
    for (std::uint64_t number = 100; steady_clock::now() < end; ++number) {
        if (co_await small->submit(queue, jobId(number), shortJob()))
            accepted.push_back(jobId(number));
        recordStore(*small);
        co_await sleepFor(context, trafficInterval);
    }
    log.write("end of the traffic: " + std::to_string(accepted.size()) + " jobs accepted");
    co_await sleepFor(context, finishTime);
    const auto idle = co_await idleJobs(*small, accepted);
    recordStore(*small);
    for (const auto &id : idle)
        log.write("accepted, not completed, nothing of it runs: job " + id);
    co_return idle.empty() ? verdict::Held : verdict::Broken;
}

} // namespace

asio::awaitable<verdict> failingService(asio::io_context &context, record &log, bool trouble)
{
    return play(context, log, manyFailures, trouble);
}

asio::awaitable<verdict> failuresAtStartOfTasks(asio::io_context &context, record &log,
                                                bool trouble)
{
    return play(context, log, failuresAtStart, trouble);
}

} // namespace review
