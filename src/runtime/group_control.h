#ifndef PLANTAINGAP_RUNTIME_GROUP_CONTROL_H
#define PLANTAINGAP_RUNTIME_GROUP_CONTROL_H

#include "backend/order_codec.h"
#include "backend/worker_lease.h"
#include "decision/task_scheduler.h"
#include "peer/ownership.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

// Joins the machines of one group of workers: who owns it, the leases of its workers, and, while
// this instance owns it, the scheduling of its tasks. Still a machine without I/O: the shell
// (control_duty) carries out the actions and hands in what comes back.
//
// Order of a tenure: group_gained; load_jobs; the shell reads the job rows and gives jobsLoaded();
// workers that answered are confirmed to the scheduler only then, since it would stop tasks whose
// jobs it does not know. Leases are renewed from the start, so that tasks run on while the table
// cannot be read.
namespace plantaingap::runtime {

// This instance may give orders for the group from now on.
struct group_gained
{
    epoch authority;
};

struct group_lost
{ };

// The job rows of the group are to be read, and given to jobsLoaded() with this epoch.
struct load_jobs
{
    epoch authority;
};

// A task ended well; its job's row is to say so.
struct task_finished
{
    task_id task;
};

using control_action =
    std::variant<read_row, write_row, group_gained, group_lost, load_jobs, worker_order,
                 worker_ready, worker_unready, task_finished, decision::checkpoint_task,
                 decision::throttle_task, decision::reject_job, decision::finish_job,
                 decision::quarantine_worker, decision::release_worker>;

struct group_limits
{
    ownership_limits ownership;
    lease_limits leases;
    decision::task_limits tasks;
    // A leaving worker's tasks are moved within this time.
    duration drain = std::chrono::seconds(30);
};

class group_control
{
public:
    group_control(const instance_ref &self, const group_limits &limits);

    // The workers of the group as the platform lists them now.
    void setWorkers(const std::vector<decision::worker_joined> &workers, time_point now,
                    std::vector<control_action> &actions);

    void step(const ownership_event &event, time_point now, std::vector<control_action> &actions);

    // A worker's answer to an order, with when the order left.
    void step(const backend::reply_message &message, time_point now,
              std::vector<control_action> &actions);

    void workerLeaving(worker_id worker, time_point now, std::vector<control_action> &actions);

    // A former owner is gone, or said that it has seen our epoch.
    void formerStopped(const instance_ref &former, time_point now,
                       std::vector<control_action> &actions);

    // Every 100 ms, and at nextDeadline() at the latest.
    void tick(time_point now, std::vector<control_action> &actions);
    std::optional<time_point> nextDeadline() const;

    // The jobs of the table's rows; passed over when the epoch is no longer ours.
    void jobsLoaded(const epoch &authority, const std::vector<decision::job_submitted> &jobs,
                    time_point now, std::vector<control_action> &actions);

    // The teams' shares of this group; kept over changes of owner.
    void setQuotas(const std::vector<decision::quota_changed> &quotas, time_point now,
                   std::vector<control_action> &actions);

    // A job whose row was just committed under our epoch, or its cancellation.
    void step(const decision::task_event &event, time_point now,
              std::vector<control_action> &actions);

    const std::optional<epoch> &authority() const { return m_ownership.authority(); }
    const peer::group_ownership &ownership() const { return m_ownership; }
    // True when jobs can be taken: owned, and the rows are loaded.
    bool takesJobs() const { return m_scheduler && m_loaded; }
    bool ready(worker_id worker) const { return m_leases.ready(worker); }
    decision::wait_report explainWait(job_id job) const;
    const decision::task_scheduler *scheduler() const { return m_scheduler.get(); }
    // What a worker is sent along with a start order.
    backend::task_payload payloadOf(const task_id &task) const;

private:
    void pass(const ownership_action &action);
    void pass(const lease_action &action);
    void pass(const decision::task_action &action);
    void feedLeases(const lease_event &event);
    void feedScheduler(const decision::task_event &event);
    void begin(const authority_gained &event);
    void end();
    void confirmWorker(const worker_ready &event);
    void noteEnded(worker_id worker, const backend::ended_task &ended);
    void settleEnd(const backend::ended_task &ended);
    bool startedHere(const task_id &task) const;
    void noteStarted(const std::vector<task_id> &running);
    void start(const decision::start_task &action);

    // Runs a step with the time and the actions at hand for the machines' outputs.
    template<class Step>
    void within(time_point now, std::vector<control_action> &actions, Step step);

    group_limits m_limits;
    peer::group_ownership m_ownership;
    backend::worker_leases m_leases;
    std::unique_ptr<decision::task_scheduler> m_scheduler;
    bool m_loaded = false;
    std::map<worker_id, decision::worker_joined> m_workers;
    std::set<worker_id> m_leaving;
    std::vector<decision::quota_changed> m_quotas;
    // Workers that were ready before the jobs were loaded.
    std::set<worker_id> m_unconfirmed;
    // Ends of tasks that a former owner started, until their worker is confirmed.
    std::map<worker_id, std::map<task_id, decision::task_outcome>> m_formerEnds;
    // Of those, the ones that the scheduler was told of: workers repeat them.
    std::set<task_id> m_settledEnds;
    std::map<worker_id, std::vector<decision::running_task>> m_running;
    // Start orders that no answer has shown as running.
    std::set<task_id> m_starting;
    std::map<job_id, decision::job_submitted> m_jobs;
    // Jobs accepted under the present epoch; only their first starts are certain to be the first.
    std::set<job_id> m_accepted;
    time_point m_now {};
    std::vector<control_action> *m_actions = nullptr;
};

} // namespace plantaingap::runtime

#endif
