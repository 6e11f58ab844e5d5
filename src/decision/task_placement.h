#ifndef PLANTAINGAP_DECISION_TASK_PLACEMENT_H
#define PLANTAINGAP_DECISION_TASK_PLACEMENT_H

#include "decision/task_ledger.h"

#include <optional>
#include <string_view>

// Chooses the worker for one task among those with room for it.
namespace plantaingap::decision {

// A way to compare workers. The smallest score wins, then the worker that was found first.
struct placement_rule
{
    std::string_view name;
    // Workers that are compared; more cost time and pack better.
    std::uint32_t candidates;
    // left is what stays free on the worker.
    double (*score)(const resources &left, const resources &capacity, std::uint32_t worker);
};

// First-fit, best-fit and balanced fit. docs/POLICY-TASKS.md has the figures for the choice.
extern const std::array<placement_rule, 3> placementRules;

// A worker of the index with room for one more task of the job, none when there is none.
std::optional<std::uint32_t> chooseWorker(const task_ledger &ledger, const job_record &job,
                                          const placement_rule &rule);

// True when the job may be placed on this worker; whether it fits is another question.
bool accepts(const task_ledger &ledger, const job_record &job, std::uint32_t worker);

// True when the task would leave accelerators of the worker without processors or memory while jobs
// wait for accelerators. Each free accelerator keeps half of its even part of the worker.
bool strandsAccelerators(const task_ledger &ledger, const job_record &job,
                         const worker_record &worker);

// How many times the need goes into the room.
std::uint32_t copiesIn(const resources &need, const resources &room);

} // namespace plantaingap::decision

#endif
