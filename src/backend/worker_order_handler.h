#ifndef PLANTAINGAP_BACKEND_WORKER_ORDER_HANDLER_H
#define PLANTAINGAP_BACKEND_WORKER_ORDER_HANDLER_H

#include <map>
#include <plantaingap/worker_lease.h>
#include <set>

namespace plantaingap::backend {

// The worker's side of the lease protocol. Its safety requires that a worker refuses orders under
// lower epochs, refuses stale starts, runs no attempt twice, and stops every task when the lease
// expires. The state is not kept over a restart of the worker, which increases the boot number.
// The worker stand-ins use this class unchanged.
class worker_order_handler
{
public:
    // The boot number must be higher than at every earlier start of this worker.
    worker_order_handler(worker_id worker, std::uint64_t boot);

    // Executes an order and returns the reply. uptime is the current reading of the worker's clock.
    worker_reply step(const worker_order &order, duration uptime);

    // Stops all tasks if the lease has expired. Must be called at leaseEnd() at the latest.
    void expire(duration uptime);

    // Records that the task ended without a stop order.
    void taskEnded(const task_id &task) { m_running.erase(task); }

    duration leaseEnd() const { return m_leaseEnd; }
    std::uint64_t boot() const { return m_boot; }
    const std::set<task_id> &running() const { return m_running; }
    const epoch &highest() const { return m_highest; }

private:
    errc execute(const query_order &order, duration uptime);
    errc execute(const renew_order &order, duration uptime);
    errc execute(const start_order &order, duration uptime);
    errc execute(const stop_order &order, duration uptime);
    void extendLease(const worker_timestamp &until);

    worker_id m_worker;
    std::uint64_t m_boot;
    epoch m_highest;
    duration m_leaseEnd {};
    std::set<task_id> m_running;
    // Attempts that were started, each with its latest start time: a duplicate of the order that
    // arrives later is refused as stale.
    std::map<task_id, duration> m_started;
};

} // namespace plantaingap::backend

#endif
