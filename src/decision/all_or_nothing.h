#ifndef PLANTAINGAP_DECISION_ALL_OR_NOTHING_H
#define PLANTAINGAP_DECISION_ALL_OR_NOTHING_H

#include "decision/task_step.h"

// Jobs whose tasks start all in one step or not at all. A job that does not fit now may reserve:
// it claims room on enough workers, which fills as tasks end there. Claims of different jobs never
// overlap, so two jobs that collect room cannot wait for each other.
namespace plantaingap::decision {

// Starts all tasks when there is room for all, else changes nothing. Tasks with accelerators are
// kept in as few racks as possible.
bool startTogether(task_step &step, job_record &job);

// Claims room that is free or will become free. False when even that is too little.
bool reserve(task_step &step, job_record &job);

// Starts the job when its claims have filled; stops backfill when that fills them; after some time
// also batch work of teams with a larger share; gives up when the time for it is over.
void reviewReservation(task_step &step, job_record &job);

} // namespace plantaingap::decision

#endif
