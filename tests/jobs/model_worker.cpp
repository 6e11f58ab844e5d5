#include "jobs/model_worker.h"

#include <algorithm>

namespace plantaingap::tests {

namespace {

constexpr std::size_t maxEndsListed = 500;

} // namespace

model_worker::model_worker(std::string id, std::string address, resources capacity,
                           std::int64_t clockMs, time_point now)
{
    entry = {std::move(id), std::move(address), "dc", "service", false, capacity, {"a", "r1-1"}, 0};
    restart(clockMs, now);
}

void model_worker::restart(std::int64_t clockMs, time_point now)
{
    entry.incarnationMs =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() + 1;
    active.clear();
    m_term = 0;
    m_startedAt = now;
    m_firstClockMs = clockMs;
    m_leaseEndMs = 0;
    m_ended.clear();
    m_lastNumber = 0;
    m_rejected.clear();
    m_done.clear();
    up = true;
    breaksConnections = true;
    frozen = false;
}

std::int64_t model_worker::clock(time_point now) const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_startedAt).count();
    return m_firstClockMs + elapsed * clockRatePerMille / 1000;
}

void model_worker::advance(time_point now)
{
    if (!up || frozen)
        return;
    std::vector<std::pair<std::string, jobs::run_outcome>> ends;
    for (const auto &[task, run] : active) {
        if (leaseEnded(now))
            ends.emplace_back(task, jobs::run_outcome::LeaseExpired);
        else if (run.stoppedAt && *run.stoppedAt <= now)
            ends.emplace_back(task, jobs::run_outcome::Stopped);
        else if (!run.stoppedAt && run.endsAt <= now)
            ends.emplace_back(task, run.outcome);
    }
    for (const auto &[task, outcome] : ends)
        end(task, outcome);
}

void model_worker::end(const std::string &task, jobs::run_outcome outcome)
{
    const auto attempt = active.at(task).attempt;
    active.erase(task);
    reject(task, attempt);
    m_ended.push_back({++m_lastNumber, task, attempt, outcome, {}});
    if (outcome == jobs::run_outcome::Done)
        m_done.insert(task);
}

void model_worker::reject(const std::string &task, std::uint32_t attempt)
{
    auto &highest = m_rejected[task];
    highest = std::max(highest, attempt);
}

bool model_worker::rejects(const std::string &task, std::uint32_t attempt) const
{
    const auto found = m_rejected.find(task);
    return found != m_rejected.end() && attempt <= found->second;
}

bool model_worker::doneUnderLease(const std::string &task, time_point now) const
{
    return up && !leaseEnded(now) && m_done.contains(task);
}

bool model_worker::leaseEnded(time_point now) const
{
    return clock(now) > m_leaseEndMs;
}

resources model_worker::used() const
{
    resources sum;
    for (const auto &[task, run] : active)
        sum += run.demand;
    return sum;
}

void model_worker::extendLease(std::int64_t leaseEndMs, time_point now)
{
    if (leaseEnded(now))
        m_done.clear();
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(leaseEndMs, clock(now) + maxLease.count()));
}

model_order_reply model_worker::start(const jobs::start_order &order, const model_run &run,
                                      time_point now)
{
    using jobs::start_result;
    if (order.term < m_term)
        return {start_result::Refused, clock(now)};
    m_term = order.term;
    const bool late = order.leaseEndMs <= clock(now);
    extendLease(order.leaseEndMs, now);
    if (rejects(order.task, order.attempt))
        return {start_result::Ended, clock(now)};
    if (late)
        return {start_result::Refused, clock(now)};
    const auto found = active.find(order.task);
    if (found != active.end()) {
        return {found->second.attempt == order.attempt ? start_result::Accepted
                                                       : start_result::Ended,
                clock(now)};
    }
    active[order.task] = run;
    return {start_result::Accepted, clock(now)};
}

bool model_worker::stop(const jobs::stop_order &order, time_point now, duration stopTime)
{
    if (order.term < m_term)
        return false;
    m_term = order.term;
    reject(order.task, order.attempt);
    const auto found = active.find(order.task);
    if (found != active.end() && found->second.attempt <= order.attempt && !found->second.stoppedAt)
        found->second.stoppedAt = now + stopTime;
    return true;
}

jobs::worker_report model_worker::renewLease(const jobs::lease_renewal &order, time_point now,
                                             stopping_report stopping)
{
    jobs::worker_report report;
    report.clockMs = clock(now);
    report.incarnationMs = entry.incarnationMs;
    if (order.term < m_term) {
        report.staleTerm = true;
        return report;
    }
    m_term = order.term;
    if (order.leaseEndMs)
        extendLease(*order.leaseEndMs, now);
    std::erase_if(m_ended, [&](const auto &end) { return end.number <= order.lastStoredEnd; });
    for (const auto &[task, run] : active) {
        if (!run.stoppedAt || stopping == stopping_report::Active)
            report.active.push_back({task, run.attempt, {}, 0, 0});
    }
    report.ended = m_ended;
    report.endsOmitted = report.ended.size() >= maxEndsListed;
    if (report.endsOmitted)
        report.ended.resize(maxEndsListed);
    return report;
}

} // namespace plantaingap::tests
