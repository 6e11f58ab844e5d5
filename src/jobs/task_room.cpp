#include "jobs/task_room.h"

#include <algorithm>

namespace plantaingap::jobs {

std::uint32_t fits(const resources &need, const resources &free)
{
    std::int64_t most = 1'000'000;
    if (need.milliCores > 0)
        most = std::min(most, free.milliCores / need.milliCores);
    if (need.memoryMib > 0)
        most = std::min(most, free.memoryMib / need.memoryMib);
    if (need.accelerators > 0)
        most = std::min(most, free.accelerators / need.accelerators);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(most, 0));
}

resources effectiveNeed(const step_definition &step)
{
    auto need = step.need;
    if (step.filler)
        need.milliCores = 0;
    return need;
}

} // namespace plantaingap::jobs
