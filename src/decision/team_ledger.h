#ifndef PLANTAINGAP_DECISION_TEAM_LEDGER_H
#define PLANTAINGAP_DECISION_TEAM_LEDGER_H

#include "decision/task_state.h"

#include <map>
#include <set>
#include <unordered_map>

// What each team holds against its quota, and the order in which the teams' waiting jobs are taken.
namespace plantaingap::decision {

// A team's dominant share in millionths: the largest part of its quota that it holds of any
// resource. Up to a million the team lives within its quota; above it borrows.
using dominant_share = std::int64_t;

constexpr dominant_share wholeQuota = 1'000'000;

class team_ledger
{
public:
    using job_queue = std::map<std::uint64_t, job_record *>;
    // Teams with waiting jobs, the smallest share first.
    using team_order = std::set<std::pair<dominant_share, std::uint32_t>>;

    void setQuota(team_id team, const resources &quota);

    // The capacity of the group, by which teams without a quota are compared.
    void setTotal(const resources &total);

    void add(team_id team, const resources &held);
    void remove(team_id team, const resources &held);

    // Notes what the team is about to hold in addition, or to lose when negative.
    void expect(team_id team, const resources &change);

    void enqueue(job_record &job);
    void dequeue(job_record &job);

    dominant_share share(team_id team) const;

    // The share that the team will have when what is expected has come about and it holds this much
    // more; negative amounts are allowed.
    dominant_share shareWith(team_id team, const resources &more) const;

    const team_order &order(work_level level) const
    {
        return m_orders[static_cast<std::size_t>(level)];
    }
    const job_queue &queue(work_level level, std::uint32_t team) const
    {
        return m_teams[team].queues[static_cast<std::size_t>(level)];
    }

    std::uint32_t teamCount() const { return static_cast<std::uint32_t>(m_teams.size()); }

    // Waiting jobs whose tasks need accelerators.
    std::uint32_t waitingForAccelerators() const { return m_waitingForAccelerators; }

    // The sum over all teams.
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
