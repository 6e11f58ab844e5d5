#include "jobs/workspaces/configuration_review.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>

namespace plantaingap::jobs {

namespace {

// Far above any fleet; sums of a million such amounts do not overflow.
constexpr std::int64_t maxLimit = 1'000'000'000'000;
constexpr double maxWeight = 1'000'000;
// The name is stored with each job of the workspace.
constexpr std::size_t maxNameLength = 200;

std::string entryOf(const workspace_definition &workspace)
{
    return "workspace " + workspace.name;
}

using findings_list = std::vector<configuration_finding>;

void addError(findings_list &found, std::string entry, std::string message)
{
    found.push_back({finding_level::Error, std::move(entry), std::move(message)});
}

void addWarning(findings_list &found, std::string entry, std::string message)
{
    found.push_back({finding_level::Warning, std::move(entry), std::move(message)});
}

void reviewAmounts(const workspace_definition &workspace, const std::string &entry,
                   findings_list &found)
{
    constexpr std::array<std::pair<std::string_view, std::int64_t resources::*>, 3> dimensions {
        {{"cores", &resources::milliCores},
         {"memory", &resources::memoryMib},
         {"accelerators", &resources::accelerators}}};
    for (const auto &[name, member] : dimensions) {
        const auto amount = workspace.limit.*member;
        if (amount < 0)
            addError(found, entry, "its limit of " + std::string(name) + " is negative");
        else if (amount > maxLimit)
            addError(found, entry, "its limit of " + std::string(name) + " is out of range");
    }
    if (!std::isfinite(workspace.weight) || workspace.weight < 0 || workspace.weight > maxWeight)
        addError(found, entry, "its weight is out of range");
    else if (workspace.weight == 0)
        addWarning(found, entry, "its weight is 0, so that all of its jobs are beyond its share");
    if (workspace.keys.empty())
        addWarning(found, entry, "it has no key, so that no caller can use it");
}

void reviewWorkspaces(const cell_configuration &configuration, findings_list &found)
{
    std::map<std::string_view, std::size_t> names;
    std::map<key_digest, const workspace_definition *> owners;
    for (const auto &workspace : configuration.workspaces) {
        const auto entry = entryOf(workspace);
        if (workspace.name.empty() || workspace.name.size() > maxNameLength)
            addError(found, entry, "its name is empty or too long");
        if (++names[workspace.name] == 2)
            addError(found, entry, "it is declared twice");
        reviewAmounts(workspace, entry, found);
        for (std::size_t i = 0; i < workspace.keys.size(); ++i) {
            const auto [owner, added] = owners.emplace(workspace.keys[i], &workspace);
            const auto key = "key " + std::to_string(i + 1);
            if (added)
                continue;
            if (owner->second->name == workspace.name)
                addWarning(found, entry, key + " is declared twice");
            else
                addError(found, entry, key + " is also a key of workspace " + owner->second->name);
        }
    }
}

void reviewQueues(const cell_configuration &configuration, findings_list &found)
{
    std::map<std::string_view, std::size_t> names;
    using host_and_prefix = std::pair<std::string_view, std::string_view>;
    std::map<host_and_prefix, std::string_view> paths;
    for (const auto &queue : configuration.queues) {
        const auto entry = "queue " + queue.name;
        if (++names[queue.name] == 2)
            addWarning(found, entry, "it is declared twice; the first declaration is used");
        const auto [first, added] =
            paths.emplace(host_and_prefix(queue.host, queue.prefix), queue.name);
        if (!added) {
            addWarning(found, entry,
                       "it never matches: queue " + std::string(first->second)
                           + " has the same host and prefix");
        }
        if (!std::isfinite(queue.stretch) || queue.stretch <= 0)
            addWarning(found, entry, "its stretch is not positive, so that no job can be on time");
        if (queue.slack < milliseconds(0))
            addWarning(found, entry, "its objective is negative");
        if (std::ranges::count(configuration.spareServices, queue.service) > 0)
            addWarning(found, entry,
                       "its service " + queue.service + " is spare and has no workers");
    }
}

} // namespace

findings_list reviewConfiguration(const cell_configuration &configuration)
{
    findings_list found;
    for (const auto &entry : configuration.unreadable)
        addError(found, entry, "it cannot be read");
    reviewQueues(configuration, found);
    reviewWorkspaces(configuration, found);
    return found;
}

cell_configuration soundPart(cell_configuration configuration, const findings_list &findings)
{
    // Every workspace that holds a key of another one is left without keys, since either may be
    // meant.
    std::map<key_digest, std::size_t> holders;
    for (const auto &workspace : configuration.workspaces) {
        for (const auto &key : workspace.keys)
            ++holders[key];
    }
    for (auto &workspace : configuration.workspaces) {
        const bool wrong = std::ranges::any_of(findings,
                                               [&](const configuration_finding &finding) {
                                                   return finding.level == finding_level::Error
                                                          && finding.entry == entryOf(workspace);
                                               })
                           || std::ranges::any_of(workspace.keys, [&](const key_digest &key) {
                                  return holders[key] > 1;
                              });
        if (!wrong)
            continue;
        workspace.keys.clear();
        workspace.weight = 0;
        workspace.limit = {1, 1, 1};
    }
    configuration.unreadable.clear();
    return configuration;
}

bool hasErrors(const findings_list &findings)
{
    return std::ranges::any_of(findings, [](const configuration_finding &finding) {
        return finding.level == finding_level::Error;
    });
}

} // namespace plantaingap::jobs
