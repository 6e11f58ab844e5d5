#include "decision/task_scheduler.h"

namespace plantaingap::decision {

namespace {

// Reason why tasks that are ready to start are not placed.
wait_reason explainNoPlacement(const task_ledger &ledger, const job_record &job)
{
    const auto free = ledger.total() - ledger.used();
    if (ledger.teams().shareWith(job.spec.team, job.demand) > fullQuota)
        return wait_reason::OverQuota;
    return job.demand.fitsIn(free) ? wait_reason::Fragmented : wait_reason::NoCapacity;
}

} // namespace

wait_report task_scheduler::explainWait(job_id id) const
{
    const auto *job = m_ledger.findJob(id);
    if (job == nullptr || job->cancelled)
        return {};
    const auto ready = job->count(task_phase::Waiting);
    const auto delayed = job->count(task_phase::Delayed);
    const auto uncertain = job->count(task_phase::Uncertain);
    const auto waiting = ready + delayed + uncertain;
    if (waiting == 0)
        return {};
    if (!m_ledger.pastBarrier(*job))
        return {wait_reason::WorkersUnconfirmed, waiting};
    if (job->claimedTasks > 0)
        return {wait_reason::Reserved, waiting};
    if (ready == 0)
        return {delayed > 0 ? wait_reason::RetryBackoff : wait_reason::TaskUncertain, waiting};
    return {explainNoPlacement(m_ledger, *job), waiting};
}

} // namespace plantaingap::decision
