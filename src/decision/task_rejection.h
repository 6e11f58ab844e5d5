#ifndef PLANTAINGAP_DECISION_TASK_REJECTION_H
#define PLANTAINGAP_DECISION_TASK_REJECTION_H

#include "decision/task_ledger.h"

// Tells jobs that can never run on this group from those that only have to wait.
namespace plantaingap::decision {

// One reason per worker class when the job can never run; empty when it can, or when the group has
// no workers yet.
std::vector<class_rejection> whyNever(const task_ledger &ledger, const job_submitted &job);

} // namespace plantaingap::decision

#endif
