#ifndef PLANTAINGAP_JOBS_WORKSPACES_WORKSPACE_ACCOUNTS_H
#define PLANTAINGAP_JOBS_WORKSPACES_WORKSPACE_ACCOUNTS_H

#include "jobs/workspaces/workspace.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <plantaingap/resources.h>
#include <plantaingap/time.h>
#include <string>
#include <vector>

// What each workspace uses of its limit, and how much of it may be started.
namespace plantaingap::jobs {

struct step_run;

// Room within the limit that the oldest waiting gang of a workspace keeps from younger steps.
struct limit_claim
{
    const step_run *gang = nullptr;
    time_point due {};
    resources amount;
    // The claim ends then, although the gang has not started.
    time_point until = time_point::max();
};

// Work of a workspace's accepted jobs in resource-seconds, as of a moment.
struct limit_backlog
{
    time_point countedAt {};
    // Of tasks at work, half of their time, and of those that wait: of top priority and of the
    // rest.
    std::array<double, 3> running {};
    std::array<double, 3> waitingTop {};
    std::array<double, 3> waitingOther {};
    resources longRunning;
};

struct workspace_account
{
    std::string name;
    // Of the configuration in force; all 0 for a workspace that it does not declare.
    resources limit;
    double weight = 0;
    // What this leader may start in a cell of several partitions; none: the limit.
    std::optional<resources> ceiling;
    // Declared demands of all runs that may exist on workers: starts that are being stored, ordered
    // or unanswered, runs at work and runs that are being stopped.
    resources used;
    limit_claim claim;
    limit_backlog backlog;
    // Counts since the start of the term.
    std::uint64_t submittedBeyond = 0;
    std::uint64_t refusedBeyond = 0;
    std::uint64_t refusedByLimit = 0;

    bool limited() const { return limit != resources {}; }
    // Tasks of that demand that may start now, at most `wanted`, while `unavailable` is taken by
    // what is not in `used`. A workspace that uses nothing may start one task that is larger than
    // its limit, which otherwise could never run.
    std::uint32_t startable(const resources &demand, std::uint32_t wanted,
                            const resources &unavailable) const;
    // A start of that demand, which is in `used` but not ordered yet, still keeps the limit.
    bool allows(const resources &demand) const;
    // Whether the limit holds that amount at all.
    bool holds(const resources &amount) const;
    // No other partition may use a part of the limit.
    bool holdsWholeLimit() const;
    // The largest part of the fleet that it uses of any resource.
    double dominantShare(const resources &capacity) const;
};

// Accounts keep their addresses. One exists for each workspace of the configuration and of a job.
class workspace_accounts
{
public:
    workspace_account &require(const std::string &name);
    const workspace_account *find(const std::string &name) const;
    // In a cell of several partitions nothing of a limited workspace may start until a ceiling is
    // set.
    void configure(const std::vector<workspace_definition> &workspaces, std::uint32_t partitions);
    // The configuration limits a workspace.
    bool limits() const { return m_limits; }
    bool empty() const { return m_accounts.empty(); }
    auto &all() { return m_accounts; }
    const auto &all() const { return m_accounts; }

private:
    std::map<std::string, workspace_account> m_accounts;
    bool m_limits = false;
};

} // namespace plantaingap::jobs

#endif
