#include "decision/team_ledger.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// The part of one resource in millionths. A team without quota for it borrows whatever it holds.
dominant_share part(std::int64_t used, std::int64_t quota, std::int64_t total)
{
    if (used <= 0)
        return 0;
    if (quota > 0)
        return used * wholeQuota / quota;
    return wholeQuota + used * wholeQuota / std::max<std::int64_t>(total, 1);
}

} // namespace

void team_ledger::setQuota(team_id team, const resources &quota)
{
    const auto at = find(team);
    m_teams[at].quota = quota;
    reorder(at);
}

void team_ledger::setTotal(const resources &total)
{
    m_total = total;
    for (std::uint32_t at = 0; at < m_teams.size(); ++at)
        reorder(at);
}

void team_ledger::add(team_id team, const resources &held)
{
    const auto at = find(team);
    m_teams[at].used += held;
    m_used += held;
    reorder(at);
}

void team_ledger::remove(team_id team, const resources &held)
{
    if (mutated("tasks.skip_team_release"))
        return;
    const auto at = find(team);
    m_teams[at].used -= held;
    m_used -= held;
    PLANTAINGAP_INVARIANT(resources {}.fitsIn(m_teams[at].used), "tasks.team_use_not_negative");
    reorder(at);
}

void team_ledger::expect(team_id team, const resources &change)
{
    m_teams[find(team)].expected += change;
}

void team_ledger::enqueue(job_record &job)
{
    if (job.queued)
        return;
    const auto at = find(job.spec.team);
    const auto level = static_cast<std::size_t>(job.level);
    auto &team = m_teams[at];
    if (team.queues[level].empty())
        m_orders[level].emplace(team.share, at);
    team.queues[level].emplace(job.sequence, &job);
    job.queued = true;
    m_waitingForAccelerators += job.spec.each.accelerators > 0 ? 1 : 0;
}

void team_ledger::dequeue(job_record &job)
{
    if (!job.queued)
        return;
    const auto at = find(job.spec.team);
    const auto level = static_cast<std::size_t>(job.level);
    auto &team = m_teams[at];
    team.queues[level].erase(job.sequence);
    if (team.queues[level].empty())
        m_orders[level].erase({team.share, at});
    job.queued = false;
    m_waitingForAccelerators -= job.spec.each.accelerators > 0 ? 1 : 0;
}

dominant_share team_ledger::share(team_id team) const
{
    const auto found = m_index.find(team);
    return found == m_index.end() ? 0 : m_teams[found->second].share;
}

dominant_share team_ledger::shareWith(team_id team, const resources &more) const
{
    const auto found = m_index.find(team);
    if (found == m_index.end())
        return shareOf({}, more);
    const auto &record = m_teams[found->second];
    return shareOf(record, record.used + record.expected + more);
}

std::uint32_t team_ledger::find(team_id team)
{
    const auto [found, isNew] =
        m_index.try_emplace(team, static_cast<std::uint32_t>(m_teams.size()));
    if (isNew)
        m_teams.emplace_back();
    return found->second;
}

dominant_share team_ledger::shareOf(const team_record &team, const resources &used) const
{
    return std::max({part(used.milliCores, team.quota.milliCores, m_total.milliCores),
                     part(used.memoryMib, team.quota.memoryMib, m_total.memoryMib),
                     part(used.accelerators, team.quota.accelerators, m_total.accelerators)});
}

void team_ledger::reorder(std::uint32_t at)
{
    auto &team = m_teams[at];
    const auto share = shareOf(team, team.used);
    if (share == team.share)
        return;
    for (std::size_t level = 0; level < workLevels; ++level) {
        if (team.queues[level].empty())
            continue;
        m_orders[level].erase({team.share, at});
        m_orders[level].emplace(share, at);
    }
    team.share = share;
}

} // namespace plantaingap::decision
