#include "backend/worker_order_handler.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::backend {

worker_order_handler::worker_order_handler(worker_id worker, std::uint64_t boot)
    : m_worker(worker)
    , m_boot(boot)
{ }

worker_reply worker_order_handler::step(const worker_order &order, duration uptime)
{
    expire(uptime);
    const epoch authority = std::visit([](const auto &typed) { return typed.authority; }, order);
    worker_reply reply;
    reply.worker = m_worker;
    reply.code = errc::StaleEpoch;
    if (authority >= m_highest || mutated("worker.skip_epoch_check")) {
        m_highest = std::max(m_highest, authority);
        reply.code = std::visit([&](const auto &typed) { return execute(typed, uptime); }, order);
    }
    reply.highest = m_highest;
    reply.stamp = {m_boot, uptime};
    reply.running.assign(m_running.begin(), m_running.end());
    return reply;
}

void worker_order_handler::expire(duration uptime)
{
    if (uptime >= m_leaseEnd && !mutated("worker.skip_lease_lapse"))
        m_running.clear();
    std::erase_if(m_started, [uptime](const auto &entry) { return entry.second < uptime; });
}

errc worker_order_handler::execute(const query_order & /*order*/, duration /*uptime*/)
{
    return errc::Ok;
}

errc worker_order_handler::execute(const renew_order &order, duration /*uptime*/)
{
    if (order.until.boot != m_boot && !mutated("worker.skip_boot_check"))
        return errc::DeadlinePassed;
    extendLease(order.until);
    return errc::Ok;
}

errc worker_order_handler::execute(const start_order &order, duration uptime)
{
    if (order.latestStart.boot != m_boot && !mutated("worker.skip_boot_check"))
        return errc::DeadlinePassed;
    const bool stale = uptime > order.latestStart.uptime;
    if (stale && !mutated("worker.skip_stale_start"))
        return errc::DeadlinePassed;
    if (m_started.contains(order.task) && !mutated("worker.skip_started_attempts"))
        return m_running.contains(order.task) ? errc::Ok : errc::DuplicateKey;
    extendLease(order.until);
    if (uptime >= m_leaseEnd)
        return errc::DeadlinePassed;
    m_started[order.task] = order.latestStart.uptime;
    m_running.insert(order.task);
    return errc::Ok;
}

errc worker_order_handler::execute(const stop_order &order, duration /*uptime*/)
{
    m_running.erase(order.task);
    return errc::Ok;
}

void worker_order_handler::extendLease(const worker_timestamp &until)
{
    m_leaseEnd = std::max(m_leaseEnd, until.uptime);
}

} // namespace plantaingap::backend
