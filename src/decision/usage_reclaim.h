#ifndef PLANTAINGAP_DECISION_USAGE_RECLAIM_H
#define PLANTAINGAP_DECISION_USAGE_RECLAIM_H

#include "decision/task_step.h"

// Gives back to the worker what tasks hold and do not use, from reports that lag. What a task holds
// is its limit at the worker, and the sum of limits never exceeds the worker's capacity, so a
// report that is wrong or late can slow a task down but never overload a worker.
namespace plantaingap::decision {

// Takes one task's report. Too little room is answered first by a larger limit where the worker has
// it, then by the limit itself, and only by a stop when memory stays above the limit.
void takeUsage(task_step &step, const task_usage &report, time_point asOf);

} // namespace plantaingap::decision

#endif
