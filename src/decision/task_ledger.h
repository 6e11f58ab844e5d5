#ifndef PLANTAINGAP_DECISION_TASK_LEDGER_H
#define PLANTAINGAP_DECISION_TASK_LEDGER_H

#include "decision/capacity_index.h"
#include "decision/task_state.h"
#include "decision/team_ledger.h"

#include <memory>

// Who runs what where: all workers, jobs and tasks of the group, and every change of them. The
// invariants of placing are checked here, at each change, in constant time.
namespace plantaingap::decision {

class task_ledger
{
public:
    task_ledger() = default;
    task_ledger(const task_ledger &) = delete;
    task_ledger &operator=(const task_ledger &) = delete;

    // Workers are dense numbers here; the number of one that is gone is used again.
    std::uint32_t addWorker(const worker_joined &joined);
    worker_record *findWorker(worker_id worker);
    worker_record &worker(std::uint32_t at) { return m_workers[at]; }
    const worker_record &worker(std::uint32_t at) const { return m_workers[at]; }
    std::uint32_t numberOf(const worker_record &record) const;
    std::uint32_t workerCount() const { return static_cast<std::uint32_t>(m_workers.size()); }

    // Must be called after a change of the worker's own state, so that searches see it.
    void refresh(std::uint32_t worker);

    void confirm(std::uint32_t worker);

    // The worker holds nothing any more and never comes back under this record.
    void removeWorker(std::uint32_t worker);

    job_record &addJob(const job_submitted &submitted, time_point now);
    job_record *findJob(job_id job);
    const job_record *findJob(job_id job) const;

    // The task that the id names, when that attempt is the current one.
    job_record *findTask(const task_id &task);

    // Ends the job; none of its tasks may be placed.
    void removeJob(job_record &job);

    // Takes the job's next waiting task and puts it on the worker. The held resources may be less
    // than the job asked for. Returns the task's index.
    std::uint32_t place(job_record &job, std::uint32_t worker, const resources &held,
                        time_point now);

    // Takes over a task that the worker reports.
    void adopt(job_record &job, std::uint32_t index, std::uint32_t attempt, std::uint32_t worker,
               const resources &held, time_point now);

    // Changes the phase of a task that stays where it is.
    void setPhase(job_record &job, std::uint32_t index, task_phase phase);

    // Takes the task off its worker, into a phase that holds nothing.
    void release(job_record &job, std::uint32_t index, task_phase phase);

    // Puts a delayed task back into the job's queue.
    void requeue(job_record &job, std::uint32_t index);

    // Changes what the task holds.
    void resize(job_record &job, std::uint32_t index, const resources &held);

    void addClaim(job_record &job, std::uint32_t worker, std::uint32_t count);
    void takeClaim(job_record &job, std::uint32_t worker, std::uint32_t count);
    void dropClaims(job_record &job);

    // What was promised on this worker must be found elsewhere; a job that collects room for all
    // of its tasks begins again.
    void dropClaimsOn(std::uint32_t worker);

    // True when no worker that may still run tasks of this recovered job is unanswered.
    bool pastBarrier(const job_record &job) const;

    team_ledger &teams() { return m_teams; }
    const team_ledger &teams() const { return m_teams; }

    // Free capacity that nobody claims.
    const capacity_index &open() const { return m_open; }
    // Free capacity, claimed or not, with what preemptible tasks hold added.
    const capacity_index &yielding() const { return m_yielding; }

    const resources &total() const { return m_total; }
    const resources &used() const { return m_used; }
    // Tasks placed so far.
    std::uint64_t starts() const { return m_starts; }
    std::size_t jobCount() const { return m_jobs.size(); }

    // Recounts everything from the records; for tests and long runs, not for each step.
    bool consistent() const;

    // Distinct classes with their largest capacity and the count of their workers.
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
    void countDomain(job_record &job, const worker_record &record, int change);
    void countClass(const worker_record &record, int change);

    std::vector<worker_record> m_workers;
    // Records of workers that are gone, to be used again.
    std::vector<std::uint32_t> m_vacant;
    std::unordered_map<worker_id, std::uint32_t> m_workerIndex;
    std::unordered_map<job_id, std::unique_ptr<job_record>> m_jobs;
    team_ledger m_teams;
    capacity_index m_open;
    capacity_index m_yielding;
    std::set<std::uint64_t> m_unconfirmed;
    std::vector<class_summary> m_classes;
    resources m_total;
    resources m_used;
    std::uint64_t m_starts = 0;
    std::uint64_t m_joins = 0;
    std::uint64_t m_submissions = 0;
};

// Where copies of a job that spreads are counted: the rack or the data centre.
std::uint32_t domainOf(spread_rule rule, const worker_record &worker);

// True for tasks that may be told to give way to something.
bool mayYield(const job_record &job);

} // namespace plantaingap::decision

#endif
