#ifndef PLANTAINGAP_DECISION_TASK_REJECTION_H
#define PLANTAINGAP_DECISION_TASK_REJECTION_H

#include "decision/task_ledger.h"

// Detects jobs that can never run on this group.
namespace plantaingap::decision {

// Returns one reason per worker class if the job can never run. Empty if it can run, or if the
// group has no workers yet.
std::vector<class_rejection> findInfeasibility(const task_ledger &ledger, const job_submitted &job);

} // namespace plantaingap::decision

#endif
