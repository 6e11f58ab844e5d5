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

// A share of the total weight below this is less than one task of a fleet of a thousand.
constexpr double minWeightShare = 0.001;

// One dimension of a limit. Limits below smallest usually have the wrong unit, such as cores
// instead of thousandths: tasks that need less than a tenth of a core or 16 MiB are not worth a
// start on another machine.
struct limit_dimension
{
    std::string_view name;
    std::int64_t resources::*member;
    std::int64_t smallest;
};

constexpr std::array<limit_dimension, 3> limitDimensions {
    {{"cores", &resources::milliCores, 100},
     {"memory", &resources::memoryMib, 16},
     {"accelerators", &resources::accelerators, 1}}};

using findings_list = std::vector<configuration_finding>;

void addError(findings_list &found, std::string entry, std::string message)
{
    found.push_back({finding_level::Error, std::move(entry), std::move(message)});
}

void addWarning(findings_list &found, std::string entry, std::string message)
{
    found.push_back({finding_level::Warning, std::move(entry), std::move(message)});
}

// A workspace that uses nothing may start a task of any size, so that a limit below the size of a
// task admits one task at a time, whatever the other limits are.
void reviewNarrowLimits(const workspace_definition &workspace, const std::string &entry,
                        findings_list &found)
{
    std::string wide;
    for (const auto &[name, member, smallest] : limitDimensions) {
        if (workspace.limit.*member >= smallest)
            wide += (wide.empty() ? "" : " and ") + std::string(name);
    }
    for (const auto &[name, member, smallest] : limitDimensions) {
        const auto amount = workspace.limit.*member;
        if (amount <= 0 || amount >= smallest)
            continue;
        addWarning(found, entry,
                   "its limit of " + std::string(name)
                       + " is smaller than a usual task, so that one task " + "runs at a time"
                       + (wide.empty() ? "" : " and its limit of " + wide + " cannot be used"));
    }
}

void reviewAmounts(const workspace_definition &workspace, const std::string &entry,
                   findings_list &found)
{
    for (const auto &[name, member, smallest] : limitDimensions) {
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
    reviewNarrowLimits(workspace, entry, found);
}

bool isUsable(double weight)
{
    return std::isfinite(weight) && weight > 0 && weight <= maxWeight;
}

void reviewWeightShares(const cell_configuration &configuration, findings_list &found)
{
    double total = 0;
    for (const auto &workspace : configuration.workspaces)
        total += isUsable(workspace.weight) ? workspace.weight : 0;
    for (const auto &workspace : configuration.workspaces) {
        if (isUsable(workspace.weight) && workspace.weight < total * minWeightShare) {
            addWarning(found, "workspace " + workspace.name,
                       "its weight is below a thousandth of the total, so that the other weights "
                       "leave it no share of a full fleet");
        }
    }
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

// Requests are matched by the path of their target, which begins with '/' and ends before '?'.
bool canBeginPath(std::string_view prefix)
{
    return prefix.starts_with('/') && std::ranges::all_of(prefix, [](unsigned char character) {
               return character > ' ' && character != '?' && character != 0x7f;
           });
}

// Requests are matched by their Host header without the port.
bool canBeHost(std::string_view host)
{
    return std::ranges::all_of(host, [](unsigned char character) {
        return character > ' ' && character != ':' && character != '/' && character != 0x7f;
    });
}

void reviewAdvisor(const queue_definition &queue, const std::string &entry, findings_list &found)
{
    if (!queue.advisor)
        return;
    const auto &advisor = *queue.advisor;
    if (advisor.perCall.count() < 0 || advisor.perWorker.count() < 0) {
        addWarning(found, entry, "the duration of its advisor's calls is negative");
        return;
    }
    // The shortest call names one worker. The durations come from a configuration and may be large,
    // so that they are added as floating point.
    const double call = static_cast<double>(advisor.perCall.count())
                        + static_cast<double>(advisor.perWorker.count());
    constexpr double microsecondsPerMillisecond = 1000;
    const auto toCallUnit = [](milliseconds span) {
        return static_cast<double>(span.count()) * microsecondsPerMillisecond;
    };
    if (toCallUnit(advisor.validity) <= call)
        addWarning(found, entry, "its advisor's tickets expire before a call can be answered");
    // The objective counts a call for each step, multiplied by the stretch.
    if (call > 0 && queue.slack > milliseconds(0) && queue.stretch > 0
        && call * queue.stretch + toCallUnit(queue.slack) < call)
        addWarning(found, entry, "its objective can be shorter than its advisor's own call");
}

void reviewObjective(const queue_definition &queue, const std::string &entry, findings_list &found)
{
    if (!std::isfinite(queue.stretch) || queue.stretch <= 0)
        addWarning(found, entry, "its stretch is not positive, so that no job can be on time");
    else if (queue.stretch < 1 && queue.slack == milliseconds(0))
        addWarning(found, entry,
                   "its stretch is below 1 without slack, so that a job that takes as long as "
                   "declared is late");
    if (queue.slack < milliseconds(0))
        addWarning(found, entry, "its objective is negative");
    if (queue.attempts == 0)
        addWarning(found, entry, "it allows no attempt");
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
        if (!canBeginPath(queue.prefix))
            addWarning(found, entry, "it never matches: no path begins with its prefix");
        if (!canBeHost(queue.host))
            addWarning(found, entry, "it never matches: hosts are compared without their port");
        reviewObjective(queue, entry, found);
        reviewAdvisor(queue, entry, found);
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
    for (const auto &entry : configuration.ignored)
        addWarning(found, entry, "it cannot be read and is left out");
    reviewQueues(configuration, found);
    reviewWorkspaces(configuration, found);
    reviewWeightShares(configuration, found);
    if (!configuration.workspaces.empty() && !configuration.queues.empty()
        && std::ranges::all_of(configuration.queues, &queue_definition::open)) {
        addWarning(found, "workspaces",
                   "every queue is open, so that limits and weights apply only to requests that "
                   "carry a known key");
    }
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
