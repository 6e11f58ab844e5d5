#ifndef PLANTAINGAP_BACKEND_WORKER_RULES_H
#define PLANTAINGAP_BACKEND_WORKER_RULES_H

#include <map>
#include <plantaingap/worker_lease.h>
#include <set>

namespace plantaingap::backend {

// What a worker must do for the safety argument to hold: refuse lower epochs, refuse stale starts,
// run no attempt twice, and stop every task when the lease lapses. Stand-ins use it as it is. It
// forgets everything when the worker starts anew; the boot number tells.
class worker_rules
{
public:
    // Of all starts of this worker, the boot number is the highest.
    worker_rules(worker_id worker, std::uint64_t boot);

    // Takes an order at this reading of the worker's own clock, and answers.
    worker_reply step(const worker_order &order, duration uptime);

    // Stops what runs past its lease. Called at leaseEnd() at the latest.
    void expire(duration uptime);

    // The task ended by itself.
    void taskEnded(const task_id &task) { m_running.erase(task); }

    duration leaseEnd() const { return m_leaseEnd; }
    std::uint64_t boot() const { return m_boot; }
    const std::set<task_id> &running() const { return m_running; }
    const epoch &highest() const { return m_highest; }

private:
    errc obey(const query_order &order, duration uptime);
    errc obey(const renew_order &order, duration uptime);
    errc obey(const start_order &order, duration uptime);
    errc obey(const stop_order &order, duration uptime);
    void extend(const worker_timestamp &until);

    worker_id m_worker;
    std::uint64_t m_boot;
    epoch m_highest;
    duration m_leaseEnd {};
    std::set<task_id> m_running;
    // Attempts started before, until the latest time at which their order could be obeyed.
    std::map<task_id, duration> m_started;
};

} // namespace plantaingap::backend

#endif
