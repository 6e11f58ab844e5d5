#ifndef PLANTAINGAP_DECISION_USAGE_RECLAIM_H
#define PLANTAINGAP_DECISION_USAGE_RECLAIM_H

#include "decision/task_step.h"

// Reclaims capacity that tasks hold but do not use, based on delayed usage reports. The resources
// held by a task are its limit at the worker, and the sum of limits never exceeds the worker's
// capacity. A wrong or late report can therefore slow a task down but never overload a worker.
namespace plantaingap::decision {

// Processes the report of one task. A task close to its limits first gets higher limits if the
// worker has free capacity. If its memory usage exceeds the limit, the limit is enforced; the task
// is stopped only if a later sample still exceeds it.
void applyUsageReport(task_step &step, const task_usage &report, time_point asOf);

} // namespace plantaingap::decision

#endif
