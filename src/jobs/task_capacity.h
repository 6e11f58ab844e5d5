#ifndef PLANTAINGAP_JOBS_TASK_CAPACITY_H
#define PLANTAINGAP_JOBS_TASK_CAPACITY_H

#include "jobs/job.h"

#include <cstdint>

namespace plantaingap::jobs {

// How many tasks of that need fit into what is free.
std::uint32_t tasksThatFit(const resources &demand, const resources &free);

// What a task takes of its worker: fillers use the processors that others leave idle.
resources effectiveDemand(const step_definition &step);

} // namespace plantaingap::jobs

#endif
