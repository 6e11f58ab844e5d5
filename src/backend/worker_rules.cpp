#include "backend/worker_rules.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::backend {

worker_rules::worker_rules(worker_id worker, std::uint64_t boot)
    : m_worker(worker)
    , m_boot(boot)
{ }

worker_reply worker_rules::step(const worker_order &order, duration uptime)
{
    expire(uptime);
    const epoch authority = std::visit([](const auto &typed) { return typed.authority; }, order);
    worker_reply answer;
    answer.worker = m_worker;
    answer.code = errc::StaleEpoch;
    if (authority >= m_highest || mutated("worker.skip_epoch_check")) {
        m_highest = std::max(m_highest, authority);
        answer.code = std::visit([&](const auto &typed) { return obey(typed, uptime); }, order);
    }
    answer.highest = m_highest;
    answer.stamp = {m_boot, uptime};
    answer.running.assign(m_running.begin(), m_running.end());
    return answer;
}

void worker_rules::expire(duration uptime)
{
    if (uptime >= m_leaseEnd && !mutated("worker.skip_lease_lapse"))
        m_running.clear();
    std::erase_if(m_started, [uptime](const auto &entry) { return entry.second < uptime; });
}

errc worker_rules::obey(const query_order & /*order*/, duration /*uptime*/)
{
    return errc::Ok;
}

errc worker_rules::obey(const renew_order &order, duration /*uptime*/)
{
    if (order.until.boot != m_boot && !mutated("worker.skip_boot_check"))
        return errc::DeadlinePassed;
    extend(order.until);
    return errc::Ok;
}

errc worker_rules::obey(const start_order &order, duration uptime)
{
    if (order.latestStart.boot != m_boot && !mutated("worker.skip_boot_check"))
        return errc::DeadlinePassed;
    const bool stale = uptime > order.latestStart.uptime;
    if (stale && !mutated("worker.skip_stale_start"))
        return errc::DeadlinePassed;
    if (m_started.contains(order.task) && !mutated("worker.skip_started_attempts"))
        return m_running.contains(order.task) ? errc::Ok : errc::DuplicateKey;
    extend(order.until);
    if (uptime >= m_leaseEnd)
        return errc::DeadlinePassed;
    m_started[order.task] = order.latestStart.uptime;
    m_running.insert(order.task);
    return errc::Ok;
}

errc worker_rules::obey(const stop_order &order, duration /*uptime*/)
{
    m_running.erase(order.task);
    return errc::Ok;
}

void worker_rules::extend(const worker_timestamp &until)
{
    m_leaseEnd = std::max(m_leaseEnd, until.uptime);
}

} // namespace plantaingap::backend
