#include "jobs/task_capacity.h"

#include <algorithm>

namespace plantaingap::jobs {

std::uint32_t tasksThatFit(const resources &demand, const resources &free)
{
    // Most workers of a busy fleet have no room; divisions are slow.
    const auto exceeds = [](std::int64_t needed, std::int64_t available) {
        return needed > 0 && needed > available;
    };
    if (exceeds(demand.milliCores, free.milliCores) || exceeds(demand.memoryMib, free.memoryMib)
        || exceeds(demand.accelerators, free.accelerators))
        return 0;
    std::int64_t count = 1'000'000;
    if (demand.milliCores > 0)
        count = std::min(count, free.milliCores / demand.milliCores);
    if (demand.memoryMib > 0)
        count = std::min(count, free.memoryMib / demand.memoryMib);
    if (demand.accelerators > 0)
        count = std::min(count, free.accelerators / demand.accelerators);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

resources effectiveDemand(const step_definition &step)
{
    auto demand = step.demand;
    if (step.bestEffort)
        demand.milliCores = 0;
    return demand;
}

} // namespace plantaingap::jobs
