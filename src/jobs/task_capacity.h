#ifndef PLANTAINGAP_JOBS_TASK_CAPACITY_H
#define PLANTAINGAP_JOBS_TASK_CAPACITY_H

#include "jobs/job.h"

#include <cstdint>

namespace plantaingap::jobs {

// Number of tasks with that demand that fit into the free resources.
std::uint32_t tasksThatFit(const resources &demand, const resources &free);

// Resources that a task reserves on its worker; best-effort tasks reserve no cores because they use
// idle ones.
resources effectiveDemand(const step_definition &step);

} // namespace plantaingap::jobs

#endif
