#ifndef PLANTAINGAP_BACKEND_WORKER_LEASE_H
#define PLANTAINGAP_BACKEND_WORKER_LEASE_H

#include <map>
#include <plantaingap/worker_lease.h>
#include <set>

namespace plantaingap::backend {

// The owner's side of the leases of one group: makes every order to its workers, and knows when a
// task certainly does not run. include/plantaingap/worker_lease.h says how to drive it.
class worker_leases
{
public:
    explicit worker_leases(const lease_limits &limits);

    void step(const lease_event &event, time_point now, std::vector<lease_action> &actions);

    // Why the task may not be started now; errc::Ok when it may.
    errc startCheck(const start_requested &request, time_point now) const;

    // True when the worker may get tasks.
    bool ready(worker_id worker) const;

    // True when no worker of the group can run a task of which this owner does not know.
    bool allSettled() const;

private:
    // A task whatever its attempt.
    using task_key = std::pair<job_id, std::uint32_t>;

    struct started_task
    {
        task_id task;
        worker_timestamp latestStart;
    };

    // Certainly ran from since until until, by our clock: between two answers that report it.
    struct running_task
    {
        task_id task;
        time_point since {};
        time_point until {};
    };

    struct worker_state
    {
        std::optional<worker_timestamp> stamp;
        // When the answer with the stamp arrived.
        time_point stampedAt {};
        // The epoch under which it last answered, of our tenure.
        std::optional<epoch> answered;
        bool ready = false;
        bool leaving = false;
        // All leases of former owners and our own have lapsed.
        bool lapsed = false;
        time_point lapsedAt = time_point::min();
        // When the last lease that we may have given lapses.
        time_point ownLapse = time_point::min();
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

    bool accept(const worker_reply &event, worker_state &worker, time_point now,
                std::vector<lease_action> &actions);
    void compare(const worker_reply &event, worker_state &worker, time_point now,
                 std::vector<lease_action> &actions);
    void resolveStarts(const worker_reply &event, worker_state &worker,
                       std::vector<lease_action> &actions);
    void endAll(worker_id id, worker_state &worker, std::vector<lease_action> &actions);
    void review(worker_id id, worker_state &worker, std::vector<lease_action> &actions);
    void unready(worker_id id, worker_state &worker, std::vector<lease_action> &actions);
    void ask(worker_id id, worker_state &worker, time_point now,
             std::vector<lease_action> &actions);
    void renew(worker_id id, worker_state &worker, time_point now,
               std::vector<lease_action> &actions);
    void checkLapse(worker_id id, worker_state &worker, time_point now,
                    std::vector<lease_action> &actions);
    bool covered(const worker_state &worker) const;
    bool known(const task_key &key) const;
    bool ranAtOnce(const task_key &key, const running_task &task, worker_id except) const;

    lease_limits m_limits;
    std::optional<epoch> m_authority;
    time_point m_exclusiveAt = time_point::min();
    std::optional<time_point> m_formersLapse;
    std::set<instance_ref> m_formers;
    epoch m_lastEpoch;
    std::map<worker_id, worker_state> m_workers;
};

} // namespace plantaingap::backend

#endif
