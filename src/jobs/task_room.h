#ifndef PLANTAINGAP_JOBS_TASK_ROOM_H
#define PLANTAINGAP_JOBS_TASK_ROOM_H

#include "jobs/job.h"

#include <cstdint>

namespace plantaingap::jobs {

// How many tasks of that need fit into what is free.
std::uint32_t fits(const resources &need, const resources &free);

// What a task takes of its worker: fillers use the processors that others leave idle.
resources effectiveNeed(const step_definition &step);

} // namespace plantaingap::jobs

#endif
