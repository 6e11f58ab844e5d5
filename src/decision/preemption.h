#ifndef PLANTAINGAP_DECISION_PREEMPTION_H
#define PLANTAINGAP_DECISION_PREEMPTION_H

#include "decision/task_step.h"

#include <optional>

// Which running work gives way to which waiting work, and at what cost.
namespace plantaingap::decision {

// Higher levels take from lower ones, services never give way. Inside the normal level a team that
// would stay within its quota takes back from batch work of a team that stays above its own; such
// an exchange never calls for its reverse, so two teams cannot take from each other in turn.
bool mayPreempt(const task_step &step, const job_record &job, const task_ref &victim);

// Work that is lost when the task is stopped now, in seconds of the whole worker.
double lostWork(const task_step &step, const task_ref &victim);

struct victims
{
    std::vector<task_ref> tasks;
    double lostWork = 0;
};

// The cheapest tasks that make room for the job on this worker, beside what is already ending;
// none when there is no such room.
std::optional<victims> chooseVictims(const task_step &step, const job_record &job,
                                     std::uint32_t worker);

// Stops the victims; an all-or-nothing job among them is stopped whole.
void stopVictims(task_step &step, const job_record &job, const victims &chosen);

// Makes room for the job's next waiting task on the worker where least is lost, and claims it.
// False when no worker has room to make.
bool preemptFor(task_step &step, job_record &job);

} // namespace plantaingap::decision

#endif
