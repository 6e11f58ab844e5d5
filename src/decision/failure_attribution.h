#ifndef PLANTAINGAP_DECISION_FAILURE_ATTRIBUTION_H
#define PLANTAINGAP_DECISION_FAILURE_ATTRIBUTION_H

#include "decision/task_step.h"

// Attributes task failures to the worker or to the job. A worker on which several distinct jobs
// fail in a row is quarantined and probed with single tasks. A job that fails on several workers
// without any success is considered faulty, and its failures no longer count against those workers.
namespace plantaingap::decision {

enum class failure_source : std::uint8_t { Undecided, Worker, Job };

class failure_attribution
{
public:
    void recordSuccess(task_step &step, job_record &job, std::uint32_t worker);

    failure_source recordFailure(task_step &step, job_record &job, std::uint32_t worker);

    // A removed worker no longer counts as quarantined.
    void onWorkerRemoved(worker_record &record);

    // Starts the first waiting batch task that fits on the quarantined worker, or retries later.
    void probe(task_step &step, std::uint32_t worker);

private:
    void quarantine(task_step &step, std::uint32_t worker);
    void releaseWorker(task_step &step, std::uint32_t worker);
    static void clearWorkerFailures(task_step &step, const job_record &job);

    std::uint32_t m_quarantined = 0;
};

} // namespace plantaingap::decision

#endif
