#ifndef PLANTAINGAP_DECISION_TASK_SCHEDULER_H
#define PLANTAINGAP_DECISION_TASK_SCHEDULER_H

#include "decision/task_blame.h"
#include "decision/task_step.h"

#include <optional>

namespace plantaingap::decision {

// Schedules the jobs of one group of workers. A new owner hands in the workers, then the quotas and
// the jobs that the table holds, then what the workers answer.
class task_scheduler
{
public:
    explicit task_scheduler(const task_limits &limits);

    // Takes one event and appends what is to be done. Actions of one step are carried out in order.
    void step(const task_event &event, time_point now, std::vector<task_action> &actions);

    // When time passes without events, expire() must be called at this time at the latest.
    std::optional<time_point> nextDeadline() const;

    // Does what has come due, a bounded part of it; nextDeadline() says when to come again.
    void expire(time_point now, std::vector<task_action> &actions);

    // Why tasks of this job do not run yet.
    wait_report whyWaiting(job_id job) const;

    // What the team holds, in millionths of its quota by its dominant resource.
    std::int64_t dominantShare(team_id team) const { return m_ledger.teams().share(team); }

    // Accepted jobs that have not ended.
    std::size_t jobs() const { return m_ledger.jobCount(); }

    // Committed to tasks, and the capacity of all workers of the group.
    const resources &used() const { return m_ledger.used(); }
    const resources &total() const { return m_ledger.total(); }

    // Recounts all sums from the records. For tests and long runs; it takes time.
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
    void onStopAgain(task_step &step, const timer &due);
    void onRetry(task_step &step, const timer &due);
    void onStartBy(task_step &step, const timer &due);
    void onProbe(task_step &step, const timer &due);
    void onDrain(task_step &step, const timer &due);

    task_step begin(time_point now, std::vector<task_action> &actions);
    void finish(task_step &step);
    void adoptReported(task_step &step, std::uint32_t worker, const running_task &reported);
    void compareWithReport(task_step &step, const task_ref &ref, bool runs);
    void settleAdopted(task_step &step, job_record &job, std::uint32_t index);
    void endTask(task_step &step, job_record &job, std::uint32_t index, task_outcome outcome);
    void settleFailure(task_step &step, job_record &job, std::uint32_t index);
    void delayRetry(task_step &step, job_record &job, std::uint32_t index);
    void cancel(task_step &step, job_id id);
    void endJob(task_step &step, job_record &job, job_outcome outcome);
    void settleJob(task_step &step, job_record &job);
    void offerFirst(task_step &step, job_record &job);
    bool preemptSome(task_step &step, job_record &job);
    void drain(task_step &step, std::uint32_t worker);
    void placeTogether(task_step &step, job_record &job);
    void reviewReservations(task_step &step);
    void sweepTogether(task_step &step);
    void sweepPreemption(task_step &step, work_level level);
    void sweepReturns(task_step &step);
    void takeBack(task_step &step, job_record &job);
    void sweepWaiting(task_step &step);
    bool anyoneWaits() const;

    task_limits m_limits;
    task_ledger m_ledger;
    task_blame m_health;
    timer_queue m_timers;
    bool m_sweepSet = false;
    // Failed tasks are tried again out of this budget, which starts fill.
    double m_retryTokens = 10;
    std::uint64_t m_startsSeen = 0;
    // Cancellations carried out since the last timer, and those that wait for one.
    std::uint32_t m_cancelsNow = 0;
    std::deque<job_id> m_cancels;
    // All-or-nothing jobs that collect room.
    std::vector<job_id> m_reserving;
    // When teams may take quota back next.
    time_point m_nextReturn {};
    // The sweep goes through the waiting jobs in parts; where it goes on.
    std::size_t m_sweepLevel = 0;
    std::uint32_t m_sweepTeam = 0;
    std::uint64_t m_sweepJob = 0;
};

} // namespace plantaingap::decision

#endif
