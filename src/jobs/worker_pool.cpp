#include "jobs/worker_pool.h"

#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

bool serves(const worker &worker, const std::string &service)
{
    return worker.listed && !worker.entry.draining && worker.entry.service == service;
}

worker_pools poolsOf(const fleet &workers)
{
    struct pool_sums
    {
        std::int64_t workers = 0;
        resources capacity;
    };
    std::map<std::string_view, pool_sums> sums;
    for (const auto &[id, worker] : workers.all()) {
        if (!serves(*worker, worker->entry.service))
            continue;
        auto &sum = sums[worker->entry.service];
        ++sum.workers;
        sum.capacity += worker->fullCapacity - worker->usedByLongRunning;
    }
    worker_pools pools;
    for (const auto &[service, sum] : sums) {
        pools[std::string(service)] = {static_cast<double>(sum.workers),
                                       {sum.capacity.milliCores / sum.workers,
                                        sum.capacity.memoryMib / sum.workers,
                                        sum.capacity.accelerators / sum.workers}};
    }
    return pools;
}

double tasksPerWorker(const step_definition &step, const worker_pool &pool)
{
    auto count = tasksThatFit(effectiveDemand(step), pool.capacity);
    if (step.maxPerWorker > 0)
        count = std::min(count, step.maxPerWorker);
    return std::max<std::uint32_t>(count, 1);
}

double partOfWorker(const step_definition &step, const worker_pool &pool)
{
    const auto demand = effectiveDemand(step);
    const auto part = [](std::int64_t needed, std::int64_t available) {
        return available > 0 ? static_cast<double>(needed) / static_cast<double>(available) : 0.0;
    };
    const auto largest = std::max({part(demand.milliCores, pool.capacity.milliCores),
                                   part(demand.memoryMib, pool.capacity.memoryMib),
                                   part(demand.accelerators, pool.capacity.accelerators)});
    return std::min(largest, 1.0);
}

double widthOf(const step_definition &gang, const worker_pool &pool)
{
    return std::ceil(static_cast<double>(gang.tasks) / tasksPerWorker(gang, pool));
}

double freeWorkersFor(double width, double share, const worker_pool &pool)
{
    return std::min(width / share, pool.workers);
}

double gangsSideBySide(double width, double share, const worker_pool &pool)
{
    constexpr double roundingMargin = 1e-6;
    const auto occupied = pool.workers - freeWorkersFor(width, share, pool);
    return 1 + std::floor(occupied / width + roundingMargin);
}

} // namespace plantaingap::jobs
