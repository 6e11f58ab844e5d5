#ifndef PLANTAINGAP_DECISION_TASK_BLAME_H
#define PLANTAINGAP_DECISION_TASK_BLAME_H

#include "decision/task_step.h"

// Tells failing workers from failing tasks. A worker that fails several jobs in a row, each counted
// once, is quarantined and probed with one task now and then. A job that fails on several workers
// and succeeds on none is to blame itself; those workers are acquitted of it.
namespace plantaingap::decision {

enum class verdict : std::uint8_t { Undecided, WorkerQuarantined, JobBlamed };

class task_blame
{
public:
    void noteSuccess(task_step &step, job_record &job, std::uint32_t worker);

    verdict noteFailure(task_step &step, job_record &job, std::uint32_t worker);

    // The worker is gone and counts no longer among the quarantined.
    void forget(worker_record &record);

    // Tries the first waiting batch task that fits on the quarantined worker.
    void probe(task_step &step, std::uint32_t worker);

private:
    void quarantine(task_step &step, std::uint32_t worker);
    void giveBack(task_step &step, std::uint32_t worker);
    static void acquit(task_step &step, const job_record &job);

    std::uint32_t m_quarantined = 0;
};

} // namespace plantaingap::decision

#endif
