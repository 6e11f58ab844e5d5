#include "jobs/dispatcher.h"

#include <algorithm>
#include <map>
#include <set>

// Limits and shares of workspaces in a placement pass. They target a workspace that has reached its
// limit, and a full fleet for which several workspaces compete.
namespace plantaingap::jobs {

namespace {

// How long a gang keeps its whole room within the limit while it waits for workers.
constexpr std::chrono::milliseconds completeClaimTime {1000};

resources chargeOf(const step_run &step)
{
    return step.definition->demand * static_cast<std::int64_t>(step.tasks.size());
}

resources positivePart(const resources &amount)
{
    return greatest(amount, {});
}

} // namespace

bool dispatcher::beyondShare(const step_run &step)
{
    return step.occurrence->job->beyondShare;
}

std::uint32_t dispatcher::withinLimit(const ready_step &ready, std::uint32_t wanted) const
{
    const auto *account = ready.step->occurrence->job->account;
    if (!account || !account->limited())
        return wanted;
    auto unavailable = m_unidentified;
    const auto &claim = account->claim;
    if (claim.gang && claim.gang != ready.step && ready.step->occurrence->due > claim.due)
        unavailable += claim.amount;
    return account->startable(ready.step->definition->demand, wanted, unavailable);
}

// A gang that waits for its limit would be overtaken for ever by smaller steps of its workspace,
// which use each task's room as it comes free. The oldest one claims it once it has used half of
// its slack.
void dispatcher::prepareLimits(const std::vector<ready_step> &ready)
{
    auto &accounts = m_scheduler.m_accounts;
    if (!accounts.limits())
        return;
    std::map<const workspace_account *, limit_claim> previous;
    for (auto &[name, account] : accounts.all()) {
        if (account.claim.gang)
            previous[&account] = account.claim;
        account.claim = {};
    }
    for (const auto *worker : m_workers) {
        if (worker->unaccountedRuns > 0)
            m_unidentified += positivePart(worker->entry.capacity - worker->used);
    }
    for (const auto &each : ready) {
        const auto &step = *each.step;
        auto *account = step.occurrence->job->account;
        if (!step.definition->gang || !account || !account->limited())
            continue;
        const auto charge = chargeOf(step);
        const auto due = step.occurrence->due;
        const auto latestStart = step.onTimeUntil - step.remainingChain;
        const auto waits = account->startable(step.definition->demand, step.waiting, m_unidentified)
                           < step.waiting;
        if (!account->holds(charge) || m_now < due + (latestStart - due) / 2)
            continue;
        // Once the room is complete the gang may still wait for workers; others get the room back
        // if that takes long.
        auto roomUntil = time_point::max();
        if (!waits) {
            const auto held = previous.find(account);
            if (held == previous.end() || held->second.gang != &step)
                continue;
            roomUntil = std::min(held->second.until, m_now + completeClaimTime);
            if (roomUntil <= m_now)
                continue;
        }
        if (!account->claim.gang || due < account->claim.due)
            account->claim = {&step, due, charge, roomUntil};
    }
}

void dispatcher::markOverShare(std::vector<ready_step> &ready) const
{
    const auto &accounts = m_scheduler.m_accounts;
    if (accounts.empty())
        return;
    std::set<const workspace_account *> active;
    for (const auto &[name, account] : accounts.all()) {
        if (account.used != resources {})
            active.insert(&account);
    }
    for (const auto &each : ready)
        active.insert(each.step->occurrence->job->account);
    double weights = 0;
    for (const auto *account : active)
        weights += account ? account->weight : 0;
    // A workspace that the configuration does not declare has no share to exceed.
    for (auto &each : ready) {
        const auto *account = each.step->occurrence->job->account;
        each.overShare = account && account->weight > 0
                         && account->dominantShare(m_usableCapacity) * weights > account->weight;
    }
}

} // namespace plantaingap::jobs
