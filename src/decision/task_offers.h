#ifndef PLANTAINGAP_DECISION_TASK_OFFERS_H
#define PLANTAINGAP_DECISION_TASK_OFFERS_H

#include "decision/task_step.h"

// Brings waiting tasks and free capacity together: a new job is offered the workers, a worker that
// has room again is offered to the jobs.
namespace plantaingap::decision {

// True when tasks of this job may be started now, capacity aside.
bool mayStart(const task_step &step, const job_record &job);

// Starts tasks of a service or batch job while some worker has room and the step has budget.
void offerJob(task_step &step, job_record &job);

// Gives the room of this worker first to those who claimed it, then to the waiting jobs by level
// and by their teams' share.
void offerWorker(task_step &step, std::uint32_t worker);

} // namespace plantaingap::decision

#endif
