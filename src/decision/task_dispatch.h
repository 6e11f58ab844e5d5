#ifndef PLANTAINGAP_DECISION_TASK_DISPATCH_H
#define PLANTAINGAP_DECISION_TASK_DISPATCH_H

#include "decision/task_step.h"

// Matches waiting tasks and free capacity, from the side of a job or of a worker.
namespace plantaingap::decision {

// True when tasks of this job may be started now, regardless of capacity.
bool isStartable(const task_step &step, const job_record &job);

// Starts tasks of a service or batch job while a worker fits and the step has budget.
void placeJob(task_step &step, job_record &job);

// Fills the worker's free capacity: first with tasks that have claims on it, then with waiting jobs
// ordered by level and by their team's dominant share.
void fillWorker(task_step &step, std::uint32_t worker);

} // namespace plantaingap::decision

#endif
