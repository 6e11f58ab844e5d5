#ifndef PLANTAINGAP_DECISION_PREEMPTION_H
#define PLANTAINGAP_DECISION_PREEMPTION_H

#include "decision/task_step.h"

#include <optional>

// Selects running tasks to stop in favour of waiting ones, at the least loss of work.
namespace plantaingap::decision {

// Jobs of higher levels preempt lower ones; services are never preempted. Within the normal level a
// team that would stay within its quota may preempt batch tasks of a team that would still be at or
// above its own quota. That never justifies the reverse, so two teams cannot preempt each other in
// turn.
bool canPreempt(const task_step &step, const job_record &job, const task_ref &victim);

// Work lost if the task is stopped now, in task seconds. A task that can write a checkpoint loses
// only the cost of that; any other also loses the time since lastCheckpointAt, which counts for
// each placed task of an all-or-nothing job.
double lostWork(const task_step &step, const task_ref &victim);

struct victims
{
    std::vector<task_ref> tasks;
    double lostWork = 0;
};

// Cheapest tasks to stop on this worker so that one task of the job fits, counting tasks that are
// already stopping as freed. Empty optional when stopping all permitted tasks is not enough.
std::optional<victims> chooseVictims(const task_step &step, const job_record &job,
                                     std::uint32_t worker);

// Stops the victims. All tasks of an all-or-nothing job are stopped together.
void stopVictims(task_step &step, const job_record &job, const victims &selected);

// Preempts tasks for the job's next waiting task on the worker where the least work is lost, and
// claims the capacity there. Starts the task at once if it already fits. False when no worker
// qualifies.
bool preemptForNextTask(task_step &step, job_record &job);

} // namespace plantaingap::decision

#endif
