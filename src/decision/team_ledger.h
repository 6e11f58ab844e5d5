#ifndef PLANTAINGAP_DECISION_TEAM_LEDGER_H
#define PLANTAINGAP_DECISION_TEAM_LEDGER_H

#include "decision/task_state.h"

#include <map>
#include <set>
#include <unordered_map>

// Resource usage of each team against its quota, and the order in which the teams' waiting jobs are
// scheduled (dominant resource fairness).
namespace plantaingap::decision {

// A team's dominant share in millionths of its quota: the largest such share over all resources. A
// team above one million is borrowing.
using dominant_share = std::int64_t;

constexpr dominant_share fullQuota = 1'000'000;

class team_ledger
{
public:
    using job_queue = std::map<std::uint64_t, job_record *>;
    // Teams with waiting jobs, smallest dominant share first.
    using team_order = std::set<std::pair<dominant_share, std::uint32_t>>;

    void setQuota(team_id team, const resources &quota);

    // Total capacity of the group, used to compare teams that have no quota.
    void setTotal(const resources &total);

    void add(team_id team, const resources &held);
    void remove(team_id team, const resources &held);

    // Adds to the usage that the team is expected to gain (claims), or lose if negative (stops).
    void addExpected(team_id team, const resources &change);

    void enqueue(job_record &job);
    void dequeue(job_record &job);

    dominant_share share(team_id team) const;

    // Share of the team after all expected changes and with this additional usage, which may be
    // negative.
    dominant_share shareWith(team_id team, const resources &change) const;

    const team_order &order(work_level level) const
    {
        return m_orders[static_cast<std::size_t>(level)];
    }
    const job_queue &queue(work_level level, std::uint32_t team) const
    {
        return m_teams[team].queues[static_cast<std::size_t>(level)];
    }

    std::uint32_t teamCount() const { return static_cast<std::uint32_t>(m_teams.size()); }

    // Number of waiting jobs whose tasks need accelerators.
    std::uint32_t waitingForAccelerators() const { return m_waitingForAccelerators; }

    // Sum over all teams.
    const resources &used() const { return m_used; }

private:
    struct team_record
    {
        resources quota;
        resources used;
        resources expected;
        dominant_share share = 0;
        std::array<job_queue, workLevels> queues;
    };

    std::uint32_t find(team_id team);
    dominant_share shareOf(const team_record &team, const resources &used) const;
    void reorder(std::uint32_t team);

    std::unordered_map<team_id, std::uint32_t> m_index;
    std::vector<team_record> m_teams;
    std::array<team_order, workLevels> m_orders;
    std::uint32_t m_waitingForAccelerators = 0;
    resources m_total;
    resources m_used;
};

} // namespace plantaingap::decision

#endif
