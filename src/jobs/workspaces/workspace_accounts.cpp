#include "jobs/workspaces/workspace_accounts.h"

#include <algorithm>
#include <array>

namespace plantaingap::jobs {

namespace {

constexpr std::array<std::int64_t resources::*, 3> dimensions {
    &resources::milliCores, &resources::memoryMib, &resources::accelerators};

} // namespace

std::uint32_t workspace_account::startable(const resources &demand, std::uint32_t wanted,
                                           const resources &unavailable) const
{
    std::int64_t count = wanted;
    for (const auto dimension : dimensions) {
        const auto bound = limit.*dimension;
        if (bound == 0)
            continue;
        const auto mine = ceiling ? std::min((*ceiling).*dimension, bound) : bound;
        const auto taken = used.*dimension + unavailable.*dimension;
        const auto each = demand.*dimension;
        // A ceiling may be lowered at any time below what runs. It concerns only what needs the
        // resource, or one long run would keep all others of the workspace waiting.
        if (each > 0)
            count = std::min(count, std::max<std::int64_t>(mine - taken, 0) / each);
        else if (taken > bound)
            count = 0;
    }
    // Another partition that holds a part of the limit may have a run at work.
    if (count == 0 && wanted > 0 && used == resources {} && holdsWholeLimit())
        return 1;
    return static_cast<std::uint32_t>(count);
}

bool workspace_account::holdsWholeLimit() const
{
    return std::ranges::all_of(dimensions, [this](const auto dimension) {
        return !ceiling || limit.*dimension <= (*ceiling).*dimension;
    });
}

bool workspace_account::allows(const resources &demand) const
{
    if (used == demand && holdsWholeLimit())
        return true;
    const auto within = [&](const auto dimension) {
        const auto bound = limit.*dimension;
        const bool needed = demand.*dimension > 0;
        const auto mine = ceiling && needed ? std::min((*ceiling).*dimension, bound) : bound;
        return bound == 0 || used.*dimension <= mine;
    };
    return std::ranges::all_of(dimensions, within);
}

bool workspace_account::holds(const resources &amount) const
{
    return std::ranges::all_of(dimensions, [&](const auto dimension) {
        return limit.*dimension == 0 || amount.*dimension <= limit.*dimension;
    });
}

double workspace_account::dominantShare(const resources &capacity) const
{
    double share = 0;
    for (const auto dimension : dimensions) {
        if (capacity.*dimension > 0) {
            share = std::max(share, static_cast<double>(used.*dimension)
                                        / static_cast<double>(capacity.*dimension));
        }
    }
    return share;
}

workspace_account &workspace_accounts::require(const std::string &name)
{
    auto &account = m_accounts[name];
    account.name = name;
    return account;
}

const workspace_account *workspace_accounts::find(const std::string &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

void workspace_accounts::configure(const std::vector<workspace_definition> &workspaces,
                                   std::uint32_t partitions)
{
    for (auto &[name, account] : m_accounts) {
        account.limit = {};
        account.weight = 0;
    }
    m_limits = false;
    for (const auto &workspace : workspaces) {
        auto &account = require(workspace.name);
        account.limit = workspace.limit;
        account.weight = workspace.weight;
        if (partitions > 1 && !account.ceiling)
            account.ceiling = resources {};
        m_limits = m_limits || account.limited();
    }
}

} // namespace plantaingap::jobs
