#include "runtime/declared_cell.h"

#include "support/stable_id.h"

#include <array>

namespace plantaingap::runtime {

namespace {

// quota * part / whole without overflow: amounts stay far below 2^53, so the product is taken in
// 128 bits.
std::int64_t shareOf(std::int64_t quota, std::int64_t part, std::int64_t whole)
{
    if (whole <= 0)
        return 0;
    __extension__ using wide = __int128;
    return static_cast<std::int64_t>(static_cast<wide>(quota) * part / whole);
}

} // namespace

std::string groupOf(const named_worker &worker)
{
    return worker.location.region + "/" + worker.location.dataCentre + "/" + worker.location.rack;
}

std::map<std::string, resources> groupCapacities(const platform_list &list)
{
    std::map<std::string, resources> groups;
    for (const auto &worker : list.workers)
        groups[groupOf(worker)] += worker.capacity;
    return groups;
}

std::vector<decision::quota_changed> quotaShares(const std::vector<team_declaration> &teams,
                                                 const resources &group, const resources &cell)
{
    std::vector<decision::quota_changed> shares;
    for (const auto &team : teams) {
        const auto &quota = team.quota;
        shares.push_back({support::stableId<team_id>(team.name),
                          {shareOf(quota.milliCores, group.milliCores, cell.milliCores),
                           shareOf(quota.memoryMib, group.memoryMib, cell.memoryMib),
                           shareOf(quota.accelerators, group.accelerators, cell.accelerators)}});
    }
    return shares;
}

std::string groupForJob(const job_spec &job, const std::map<std::string, resources> &groups)
{
    const auto needed =
        job.kind == decision::job_kind::AllOrNothing ? job.each * job.tasks : job.each;
    std::string best;
    std::pair<bool, std::uint64_t> bestRank;
    for (const auto &[name, capacity] : groups) {
        const std::pair rank(needed.fitsIn(capacity), support::nameDigest(job.name + "\n" + name));
        if (best.empty() || rank > bestRank) {
            best = name;
            bestRank = rank;
        }
    }
    return best;
}

job_spec specOf(const job_declaration &declared)
{
    job_spec spec;
    spec.name = declared.name;
    spec.team = declared.team;
    spec.kind = static_cast<decision::job_kind>(declared.kind);
    spec.urgent = declared.urgent ? decision::job_urgency::Urgent : decision::job_urgency::Normal;
    spec.tasks = declared.tasks;
    spec.each = declared.perTask;
    spec.command = declared.command;
    spec.taskKind = declared.command;
    spec.checkpointable = declared.checkpointable;
    spec.startBy = declared.startBy;
    const bool apart = declared.spread == task_spread::Workers;
    spec.spread = apart ? decision::spread_rule::Racks : decision::spread_rule::Anywhere;
    return spec;
}

operators::job_status jobStatus(const job_row &row)
{
    // In the order of job_state.
    static constexpr std::array<const char *, 6> names = {"waiting",   "finished", "failed",
                                                          "cancelled", "failed",   "refused"};
    operators::job_status status;
    status.job = row.spec.name;
    status.team = row.spec.team;
    status.kind = static_cast<job_kind>(row.spec.kind);
    status.state = names.at(static_cast<std::size_t>(row.state));
    status.tasks = row.spec.tasks;
    status.finished = static_cast<std::uint32_t>(row.finished.size());
    return status;
}

} // namespace plantaingap::runtime
