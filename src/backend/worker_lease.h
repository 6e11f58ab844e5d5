#ifndef PLANTAINGAP_BACKEND_WORKER_LEASE_H
#define PLANTAINGAP_BACKEND_WORKER_LEASE_H

#include <map>
#include <plantaingap/worker_lease.h>
#include <set>

namespace plantaingap::backend {

// The owner's side of the lease protocol of one group: issues every order to the group's workers
// and determines when a task has certainly stopped. include/plantaingap/worker_lease.h defines the
// driver contract.
class worker_leases
{
public:
    explicit worker_leases(const lease_limits &limits);

    void step(const lease_event &event, time_point now, std::vector<lease_action> &actions);

    // Returns errc::Ok if the task may be started now, else the reason.
    errc checkStart(const start_requested &request, time_point now) const;

    // True if the worker may be given tasks.
    bool ready(worker_id worker) const;

    // True if no worker of the group can be running a task unknown to this owner.
    bool allTasksKnown() const;

private:
    // Identifies a task regardless of its attempt.
    using task_key = std::pair<job_id, std::uint32_t>;

    struct started_task
    {
        task_id task;
        worker_timestamp latestStart;
    };

    // The task certainly ran between these two times of the owner's clock: from the arrival of the
    // first reply that reported it to the sending of the order whose reply reported it last.
    struct running_task
    {
        task_id task;
        time_point since {};
        time_point until {};
    };

    struct worker_state
    {
        std::optional<worker_timestamp> stamp;
        // When the reply with the timestamp arrived, by the owner's clock.
        time_point stampedAt {};
        // The epoch of the current term under which the worker last replied.
        std::optional<epoch> repliedUnder;
        bool ready = false;
        bool leaving = false;
        // All leases granted by this owner and by previous owners have expired.
        bool leasesExpired = false;
        time_point leasesExpiredAt = time_point::min();
        // When the last lease that this owner may have granted expires.
        time_point ownLeasesEnd = time_point::min();
        time_point askedAt = time_point::min();
        std::map<task_key, running_task> running;
        std::map<task_key, started_task> starting;
        std::set<task_id> stopping;
    };

    void on(const authority_gained &event, time_point now, std::vector<lease_action> &actions);
    void on(const authority_confirmed &event, time_point now, std::vector<lease_action> &actions);
    void on(const authority_lost &event, time_point now, std::vector<lease_action> &actions);
    void on(const worker_listed &event, time_point now, std::vector<lease_action> &actions);
    void on(const worker_unlisted &event, time_point now, std::vector<lease_action> &actions);
    void on(const worker_marked_leaving &event, time_point now, std::vector<lease_action> &actions);
    void on(const worker_reply &event, time_point now, std::vector<lease_action> &actions);
    void on(const previous_owner_stopped &event, time_point now,
            std::vector<lease_action> &actions);
    void on(const start_requested &event, time_point now, std::vector<lease_action> &actions);
    void on(const stop_requested &event, time_point now, std::vector<lease_action> &actions);
    void on(const lease_tick &event, time_point now, std::vector<lease_action> &actions);

    bool acceptTimestamp(const worker_reply &event, worker_state &worker, time_point now,
                         std::vector<lease_action> &actions);
    void updateRunning(const worker_reply &event, worker_state &worker, time_point now,
                       std::vector<lease_action> &actions);
    void resolveStarts(const worker_reply &event, worker_state &worker,
                       std::vector<lease_action> &actions);
    void reportAllStopped(worker_id id, worker_state &worker, std::vector<lease_action> &actions);
    void updateReady(worker_id id, worker_state &worker, std::vector<lease_action> &actions);
    void markUnready(worker_id id, worker_state &worker, std::vector<lease_action> &actions);
    void query(worker_id id, worker_state &worker, time_point now,
               std::vector<lease_action> &actions);
    void renew(worker_id id, worker_state &worker, time_point now,
               std::vector<lease_action> &actions);
    void checkLeaseExpiry(worker_id id, worker_state &worker, time_point now,
                          std::vector<lease_action> &actions);
    bool upSinceExclusive(const worker_state &worker) const;
    bool isRunningOrStarting(const task_key &key) const;
    bool ranConcurrently(const task_key &key, const running_task &task, worker_id except) const;

    lease_limits m_limits;
    std::optional<epoch> m_authority;
    time_point m_exclusiveAt = time_point::min();
    std::optional<time_point> m_previousLeasesEnd;
    std::set<instance_ref> m_previousOwners;
    epoch m_lastEpoch;
    std::map<worker_id, worker_state> m_workers;
};

} // namespace plantaingap::backend

#endif
