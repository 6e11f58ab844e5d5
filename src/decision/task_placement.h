#ifndef PLANTAINGAP_DECISION_TASK_PLACEMENT_H
#define PLANTAINGAP_DECISION_TASK_PLACEMENT_H

#include "decision/task_ledger.h"

#include <optional>
#include <string_view>

// Selects the worker for a task.
namespace plantaingap::decision {

// Scores workers for a task. The smallest score wins; on a tie, the worker that was found first.
struct placement_rule
{
    std::string_view name;
    // Maximum number of workers compared; more pack better but take longer.
    std::uint32_t candidates;
    // left is the capacity that would remain free on the worker.
    double (*score)(const resources &left, const resources &capacity, std::uint32_t worker);
};

// First-fit, best-fit and balanced fit; docs/POLICY-TASKS.md compares them.
extern const std::array<placement_rule, 3> placementRules;

// Best worker with unclaimed capacity for one more task of the job.
std::optional<std::uint32_t> chooseWorker(const task_ledger &ledger, const job_record &job,
                                          const placement_rule &rule);

// True when the worker takes tasks of this job, regardless of its free capacity.
bool accepts(const task_ledger &ledger, const job_record &job, std::uint32_t worker);

// True when the task would leave too few processors or too little memory for the worker's free
// accelerators while jobs wait for accelerators. Each free accelerator reserves half of its even
// share of the worker.
bool strandsAccelerators(const task_ledger &ledger, const job_record &job,
                         const worker_record &worker);

// Number of tasks with this demand that fit into the available capacity.
std::uint32_t countFitting(const resources &demand, const resources &available);

} // namespace plantaingap::decision

#endif
