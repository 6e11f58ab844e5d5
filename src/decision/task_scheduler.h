#ifndef PLANTAINGAP_DECISION_TASK_SCHEDULER_H
#define PLANTAINGAP_DECISION_TASK_SCHEDULER_H

#include "decision/failure_attribution.h"
#include "decision/task_step.h"

#include <optional>

namespace plantaingap::decision {

// Schedules the jobs of one group of workers. A new owner of the group passes in the workers, then
// the quotas and jobs from the table, then the workers' confirmations.
class task_scheduler
{
public:
    explicit task_scheduler(const task_limits &limits);

    // Processes one event and appends the resulting actions, which must be executed in order.
    void step(const task_event &event, time_point now, std::vector<task_action> &actions);

    // Time by which expire() must be called.
    std::optional<time_point> nextDeadline() const;

    // Handles a bounded number of expired timers; nextDeadline() tells when to call it again.
    void expire(time_point now, std::vector<task_action> &actions);

    // Explains why tasks of this job are not running.
    wait_report explainWait(job_id job) const;

    // The team's usage of its dominant resource, in millionths of its quota.
    std::int64_t dominantShare(team_id team) const { return m_ledger.teams().share(team); }

    // Number of accepted jobs that have not ended.
    std::size_t jobs() const { return m_ledger.jobCount(); }

    // Resources held by tasks, and the total capacity of the group's workers.
    const resources &used() const { return m_ledger.used(); }
    const resources &total() const { return m_ledger.total(); }

    // Recomputes all sums from the records and compares them. Slow; for tests and long runs.
    bool consistent() const { return m_ledger.consistent(); }

private:
    using handler = void (task_scheduler::*)(task_step &, const timer &);

    void on(const worker_joined &event, task_step &step);
    void on(const worker_confirmed &event, task_step &step);
    void on(const worker_draining &event, task_step &step);
    void on(const worker_lost &event, task_step &step);
    void on(const worker_dead &event, task_step &step);
    void on(const task_confirmed_stopped &event, task_step &step);
    void on(const usage_reported &event, task_step &step);
    void on(const job_submitted &event, task_step &step);
    void on(const job_cancelled &event, task_step &step);
    void on(const task_started &event, task_step &step);
    void on(const task_ended &event, task_step &step);
    void on(const task_checkpointed &event, task_step &step);
    void on(const quota_changed &event, task_step &step);

    void onSweep(task_step &step, const timer &due);
    void onContinue(task_step &step, const timer &due);
    void onCancel(task_step &step, const timer &due);
    void onCheckpoint(task_step &step, const timer &due);
    void onResendStop(task_step &step, const timer &due);
    void onRetry(task_step &step, const timer &due);
    void onStartBy(task_step &step, const timer &due);
    void onProbe(task_step &step, const timer &due);
    void onDrain(task_step &step, const timer &due);

    task_step begin(time_point now, std::vector<task_action> &actions);
    void finish(task_step &step);
    void adoptReported(task_step &step, std::uint32_t worker, const running_task &reported);
    void endUnaccounted(task_step &step, const task_id &task);
    void reconcileWithReport(task_step &step, const task_ref &ref, bool isRunning);
    void stopIfCancelled(task_step &step, job_record &job, std::uint32_t index);
    void endTask(task_step &step, job_record &job, std::uint32_t index, task_outcome outcome);
    void endWithWorker(task_step &step, const worker_record &worker, const task_ref &ref);
    void handleFailure(task_step &step, job_record &job, std::uint32_t index);
    void handleFinalFailure(task_step &step, job_record &job, std::uint32_t index,
                            failure_source source);
    void scheduleRetry(task_step &step, job_record &job, std::uint32_t index);
    void cancel(task_step &step, job_id id);
    void endJob(task_step &step, job_record &job, job_outcome outcome);
    void finishIfDone(task_step &step, job_record &job);
    void placeOrPreempt(task_step &step, job_record &job);
    bool preemptForTasks(task_step &step, job_record &job);
    void drain(task_step &step, std::uint32_t worker);
    void placeAllOrNothing(task_step &step, job_record &job);
    void reviewReservations(task_step &step);
    void sweepAllOrNothing(task_step &step);
    void sweepPreempting(task_step &step, work_level level);
    void sweepQuotaReclaims(task_step &step);
    void reclaimQuota(task_step &step, job_record &job);
    void sweepWaiting(task_step &step);
    bool hasWaitingJobs() const;

    task_limits m_limits;
    task_ledger m_ledger;
    failure_attribution m_failureAttribution;
    timer_queue m_timers;
    bool m_sweepScheduled = false;
    // Retry budget: each retry takes one token, and started tasks add tokens.
    double m_retryTokens = 10;
    std::uint64_t m_lastStarts = 0;
    // Cancellations executed since the last expire(), and those deferred to a timer.
    std::uint32_t m_immediateCancels = 0;
    std::deque<job_id> m_pendingCancels;
    // All-or-nothing jobs that hold a reservation.
    std::vector<job_id> m_reservingJobs;
    // Earliest time of the next quota reclaim.
    time_point m_nextQuotaReclaim {};
    // Position at which the next sweep continues its pass over the waiting jobs.
    std::size_t m_sweepLevel = 0;
    std::uint32_t m_sweepTeam = 0;
    std::uint64_t m_sweepJob = 0;
};

} // namespace plantaingap::decision

#endif
