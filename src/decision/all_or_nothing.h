#ifndef PLANTAINGAP_DECISION_ALL_OR_NOTHING_H
#define PLANTAINGAP_DECISION_ALL_OR_NOTHING_H

#include "decision/task_step.h"

// Gang scheduling: all tasks of a job start in one step, or none does. A job that does not fit now
// may reserve capacity: it claims capacity on enough workers and waits until the tasks there end.
// Claims of different jobs never overlap, so two reserving jobs cannot deadlock.
namespace plantaingap::decision {

// Starts all tasks if all of them fit, otherwise changes nothing. Tasks with accelerators are
// packed into as few racks as possible.
bool startAllTasks(task_step &step, job_record &job);

// Claims capacity that is free, or held by preemptible tasks. False when that is not enough.
bool reserve(task_step &step, job_record &job);

// Starts the job once all claimed capacity is free. Until then it stops backfill tasks, and after
// reservationPreemptionDelay also batch tasks of teams with a larger share, if that frees all of
// the claimed capacity. Cancels the reservation after reservationTimeout.
void reviewReservation(task_step &step, job_record &job);

} // namespace plantaingap::decision

#endif
