#include "decision/team_ledger.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

namespace {

// Share of one resource in millionths of the quota. If the team has no quota of the resource, all
// usage is borrowed, and the share is one million plus the share of the group's total.
dominant_share shareOfResource(std::int64_t used, std::int64_t quota, std::int64_t total)
{
    if (used <= 0)
        return 0;
    if (quota > 0)
        return used * fullQuota / quota;
    return fullQuota + used * fullQuota / std::max<std::int64_t>(total, 1);
}

} // namespace

void team_ledger::setQuota(team_id team, const resources &quota)
{
    const auto index = find(team);
    m_teams[index].quota = quota;
    reorder(index);
}

void team_ledger::setTotal(const resources &total)
{
    m_total = total;
    for (std::uint32_t index = 0; index < m_teams.size(); ++index)
        reorder(index);
}

void team_ledger::add(team_id team, const resources &held)
{
    const auto index = find(team);
    m_teams[index].used += held;
    m_used += held;
    reorder(index);
}

void team_ledger::remove(team_id team, const resources &held)
{
    if (mutated("tasks.skip_team_release"))
        return;
    const auto index = find(team);
    m_teams[index].used -= held;
    m_used -= held;
    PLANTAINGAP_INVARIANT(resources {}.fitsIn(m_teams[index].used), "tasks.team_use_not_negative");
    reorder(index);
}

void team_ledger::addExpected(team_id team, const resources &change)
{
    m_teams[find(team)].expected += change;
}

void team_ledger::enqueue(job_record &job)
{
    if (job.queued)
        return;
    const auto index = find(job.spec.team);
    const auto level = static_cast<std::size_t>(job.level);
    auto &team = m_teams[index];
    if (team.queues[level].empty())
        m_orders[level].emplace(team.share, index);
    team.queues[level].emplace(job.sequence, &job);
    job.queued = true;
    m_waitingForAccelerators += job.spec.perTask.accelerators > 0 ? 1 : 0;
}

void team_ledger::dequeue(job_record &job)
{
    if (!job.queued)
        return;
    const auto index = find(job.spec.team);
    const auto level = static_cast<std::size_t>(job.level);
    auto &team = m_teams[index];
    team.queues[level].erase(job.sequence);
    if (team.queues[level].empty())
        m_orders[level].erase({team.share, index});
    job.queued = false;
    m_waitingForAccelerators -= job.spec.perTask.accelerators > 0 ? 1 : 0;
}

dominant_share team_ledger::share(team_id team) const
{
    const auto it = m_index.find(team);
    return it == m_index.end() ? 0 : m_teams[it->second].share;
}

dominant_share team_ledger::shareWith(team_id team, const resources &change) const
{
    const auto it = m_index.find(team);
    if (it == m_index.end())
        return shareOf({}, change);
    const auto &record = m_teams[it->second];
    return shareOf(record, record.used + record.expected + change);
}

std::uint32_t team_ledger::find(team_id team)
{
    const auto [it, inserted] =
        m_index.try_emplace(team, static_cast<std::uint32_t>(m_teams.size()));
    if (inserted)
        m_teams.emplace_back();
    return it->second;
}

dominant_share team_ledger::shareOf(const team_record &team, const resources &used) const
{
    return std::max(
        {shareOfResource(used.milliCores, team.quota.milliCores, m_total.milliCores),
         shareOfResource(used.memoryMib, team.quota.memoryMib, m_total.memoryMib),
         shareOfResource(used.accelerators, team.quota.accelerators, m_total.accelerators)});
}

void team_ledger::reorder(std::uint32_t index)
{
    auto &team = m_teams[index];
    const auto share = shareOf(team, team.used);
    if (share == team.share)
        return;
    for (std::size_t level = 0; level < workLevels; ++level) {
        if (team.queues[level].empty())
            continue;
        m_orders[level].erase({team.share, index});
        m_orders[level].emplace(share, index);
    }
    team.share = share;
}

} // namespace plantaingap::decision
