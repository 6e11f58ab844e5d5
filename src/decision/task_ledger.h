#ifndef PLANTAINGAP_DECISION_TASK_LEDGER_H
#define PLANTAINGAP_DECISION_TASK_LEDGER_H

#include "decision/capacity_index.h"
#include "decision/task_state.h"
#include "decision/team_ledger.h"

#include <memory>
#include <optional>

// State of all workers, jobs and tasks of the group. Every change goes through task_ledger, which
// checks the placement invariants at each change in constant time.
namespace plantaingap::decision {

class task_ledger
{
public:
    task_ledger() = default;
    task_ledger(const task_ledger &) = delete;
    task_ledger &operator=(const task_ledger &) = delete;

    // Returns a dense index. The index of a removed worker is reused.
    std::uint32_t addWorker(const worker_joined &joined);
    worker_record *findWorker(worker_id worker);
    worker_record &worker(std::uint32_t index) { return m_workers[index]; }
    const worker_record &worker(std::uint32_t index) const { return m_workers[index]; }
    std::uint32_t indexOf(const worker_record &record) const;
    std::uint32_t workerCount() const { return static_cast<std::uint32_t>(m_workers.size()); }

    // Updates the capacity indexes; must be called after the worker's flags have changed.
    void refresh(std::uint32_t worker);

    void confirm(std::uint32_t worker);

    // Requires that no tasks are placed on the worker. The record is reused by addWorker().
    void removeWorker(std::uint32_t worker);

    job_record &addJob(const job_submitted &submitted, time_point now);
    job_record *findJob(job_id job);
    const job_record *findJob(job_id job) const;

    // Job of the task if the id names the task's current attempt, else nullptr.
    job_record *findTask(const task_id &task);

    // Removes the job. Requires that none of its tasks is placed.
    void removeJob(job_record &job);

    // Places the job's next waiting task on the worker and returns the task's index. held may be
    // less than the job's demand.
    std::uint32_t place(job_record &job, std::uint32_t worker, const resources &held,
                        time_point now);

    // Records a waiting task as running on the worker that reported it.
    void adopt(job_record &job, std::uint32_t index, std::uint32_t attempt, std::uint32_t worker,
               const resources &held, time_point now);

    // True if this attempt of the task is placed on the worker.
    bool isPlacedOn(const task_id &task, std::uint32_t worker) const;

    // Replaces the worker's unaccounted tasks by those of its report that are not placed on it.
    // Each holds capacity until it is released or adopted.
    void setUnaccounted(std::uint32_t worker, const std::vector<running_task> &reported);

    // Releases what the unaccounted task holds. Returns its worker, or nothing for other tasks.
    std::optional<std::uint32_t> releaseUnaccounted(const task_id &task);

    // Changes the phase of a task without changing whether it is placed.
    void setPhase(job_record &job, std::uint32_t index, task_phase phase);

    // Removes the task from its worker. The new phase must not hold capacity.
    void release(job_record &job, std::uint32_t index, task_phase phase);

    // Returns a delayed task to the job's queue.
    void requeue(job_record &job, std::uint32_t index);

    // Changes the resources held by the task.
    void resize(job_record &job, std::uint32_t index, const resources &held);

    void addClaim(job_record &job, std::uint32_t worker, std::uint32_t count);
    void releaseClaim(job_record &job, std::uint32_t worker, std::uint32_t count);
    void releaseAllClaims(job_record &job);

    // Releases all claims on this worker. An all-or-nothing job loses its claims on all workers and
    // must reserve anew.
    void releaseClaimsOn(std::uint32_t worker);

    // True when every worker that may still run tasks of this recovered job is confirmed or
    // removed.
    bool pastBarrier(const job_record &job) const;

    team_ledger &teams() { return m_teams; }
    const team_ledger &teams() const { return m_teams; }

    // Workers by free capacity that is not claimed.
    const capacity_index &unclaimed() const { return m_unclaimed; }
    // Workers by free capacity, claimed or not, plus the capacity held by preemptible tasks.
    const capacity_index &freeOrPreemptible() const { return m_freeOrPreemptible; }

    const resources &total() const { return m_total; }
    const resources &used() const { return m_used; }
    // Number of tasks placed so far, without adopted ones.
    std::uint64_t starts() const { return m_starts; }
    std::size_t jobCount() const { return m_jobs.size(); }

    // Recomputes all sums from the records and compares them. Slow; for tests and long runs.
    bool consistent() const;

    // A worker class with the largest capacity seen and the number of its workers.
    struct class_summary
    {
        worker_class kind {};
        resources capacity;
        std::uint32_t workers = 0;
    };
    const std::vector<class_summary> &classes() const { return m_classes; }

private:
    void enqueue(job_record &job, std::uint32_t index);
    void move(job_record &job, std::uint32_t index, task_phase phase);
    void attach(job_record &job, std::uint32_t index, std::uint32_t worker, const resources &held);
    void detach(job_record &job, std::uint32_t index);
    void releaseUnaccounted(const task_id &task, std::uint32_t worker);
    void clearUnaccounted(std::uint32_t worker);
    void adjustDomainCount(job_record &job, const worker_record &record, int change);
    void adjustClassCount(const worker_record &record, int change);

    std::vector<worker_record> m_workers;
    // Indexes of removed workers, for reuse.
    std::vector<std::uint32_t> m_reusableIndexes;
    std::unordered_map<worker_id, std::uint32_t> m_workerIndex;
    std::unordered_map<job_id, std::unique_ptr<job_record>> m_jobs;
    team_ledger m_teams;
    capacity_index m_unclaimed;
    capacity_index m_freeOrPreemptible;
    std::set<std::uint64_t> m_unconfirmed;
    // All unaccounted tasks with their workers.
    std::set<std::pair<task_id, std::uint32_t>> m_unaccounted;
    std::vector<class_summary> m_classes;
    resources m_total;
    resources m_used;
    std::uint64_t m_starts = 0;
    std::uint64_t m_joins = 0;
    std::uint64_t m_submissions = 0;
};

// Failure domain of the worker by which a spreading job counts its tasks: its rack or data centre.
std::uint32_t domainOf(spread_rule rule, const worker_record &worker);

// True if tasks of the job can be preempted at all.
bool isPreemptible(const job_record &job);

} // namespace plantaingap::decision

#endif
