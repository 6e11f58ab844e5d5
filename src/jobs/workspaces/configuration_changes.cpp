#include "jobs/workspaces/configuration_changes.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <utility>

namespace plantaingap::jobs {

namespace {

using change_list = std::vector<configuration_change>;
using change_kind = configuration_change_kind;

// The shortest text that reads back as the same number.
std::string numberText(double number)
{
    constexpr std::size_t longest = 32;
    std::array<char, longest> buffer {};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), written.ptr};
}

std::string text(const std::string &value)
{
    return value;
}

std::string text(bool value)
{
    return value ? "true" : "false";
}

std::string text(double value)
{
    return numberText(value);
}

std::string text(std::uint32_t value)
{
    return std::to_string(value);
}

std::string text(std::int64_t value)
{
    return std::to_string(value);
}

std::string text(milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

std::string text(std::chrono::microseconds value)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return numberText(static_cast<double>(value.count()) / microsecondsPerMillisecond) + "ms";
}

template<class Value>
void addChanged(change_list &changes, const std::string &entry, const char *field,
                const Value &before, const Value &after)
{
    if (before != after)
        changes.push_back({change_kind::Changed, entry, field, text(before), text(after)});
}

void compareAdvisors(const std::string &entry, const std::optional<advisor_cost> &before,
                     const std::optional<advisor_cost> &after, change_list &changes)
{
    if (before && after) {
        addChanged(changes, entry, "advisor per call", before->perCall, after->perCall);
        addChanged(changes, entry, "advisor per worker", before->perWorker, after->perWorker);
        addChanged(changes, entry, "advisor validity", before->validity, after->validity);
    } else if (before || after) {
        changes.push_back(
            {after ? change_kind::Added : change_kind::Removed, entry, "advisor", {}, {}});
    }
}

void compare(const std::string &entry, const queue_definition &before,
             const queue_definition &after, change_list &changes)
{
    addChanged(changes, entry, "host", before.host, after.host);
    addChanged(changes, entry, "prefix", before.prefix, after.prefix);
    addChanged(changes, entry, "service", before.service, after.service);
    addChanged(changes, entry, "priority", before.priority, after.priority);
    addChanged(changes, entry, "attempts", before.attempts, after.attempts);
    addChanged(changes, entry, "stretch", before.stretch, after.stretch);
    addChanged(changes, entry, "slack", before.slack, after.slack);
    compareAdvisors(entry, before.advisor, after.advisor, changes);
    addChanged(changes, entry, "open", before.open, after.open);
}

// Adds the keys that the other list lacks, by their number.
void addMissingKeys(const std::string &entry, change_kind kind, const std::vector<key_digest> &keys,
                    const std::vector<key_digest> &others, change_list &changes)
{
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const bool first = std::find(keys.begin(), keys.end(), keys[i])
                           == keys.begin() + static_cast<std::ptrdiff_t>(i);
        if (first && std::ranges::count(others, keys[i]) == 0)
            changes.push_back({kind, entry, "key " + std::to_string(i + 1), {}, {}});
    }
}

void compare(const std::string &entry, const workspace_definition &before,
             const workspace_definition &after, change_list &changes)
{
    addMissingKeys(entry, change_kind::Added, after.keys, before.keys, changes);
    addMissingKeys(entry, change_kind::Removed, before.keys, after.keys, changes);
    addChanged(changes, entry, "weight", before.weight, after.weight);
    addChanged(changes, entry, "limit of cores", before.limit.milliCores, after.limit.milliCores);
    addChanged(changes, entry, "limit of memory", before.limit.memoryMib, after.limit.memoryMib);
    addChanged(changes, entry, "limit of accelerators", before.limit.accelerators,
               after.limit.accelerators);
}

// Entries with the name by which they are matched. Duplicates are matched in their order.
template<class Entry>
std::vector<std::pair<std::string, const Entry *>> named(const char *kind,
                                                         const std::vector<Entry> &entries)
{
    std::vector<std::pair<std::string, const Entry *>> all;
    std::map<std::string_view, std::size_t> counts;
    for (const auto &entry : entries) {
        const auto count = ++counts[entry.name];
        auto name = std::string(kind) + ' ' + entry.name;
        if (count > 1)
            name += " (" + std::to_string(count) + ")";
        all.emplace_back(std::move(name), &entry);
    }
    return all;
}

template<class Entry>
void compareEntries(const char *kind, const std::vector<Entry> &before,
                    const std::vector<Entry> &after, change_list &changes)
{
    const auto former = named(kind, before);
    const auto next = named(kind, after);
    const std::map<std::string, const Entry *> formerByName(former.begin(), former.end());
    const std::map<std::string, const Entry *> nextByName(next.begin(), next.end());
    for (const auto &[name, entry] : next) {
        const auto found = formerByName.find(name);
        if (found == formerByName.end())
            changes.push_back({change_kind::Added, name, {}, {}, {}});
        else
            compare(name, *found->second, *entry, changes);
    }
    for (const auto &[name, entry] : former) {
        if (!nextByName.contains(name))
            changes.push_back({change_kind::Removed, name, {}, {}, {}});
    }
}

void compareSpareServices(const std::vector<std::string> &before,
                          const std::vector<std::string> &after, change_list &changes)
{
    for (const auto &service : after) {
        if (std::ranges::count(before, service) == 0)
            changes.push_back({change_kind::Added, "spare service " + service, {}, {}, {}});
    }
    for (const auto &service : before) {
        if (std::ranges::count(after, service) == 0)
            changes.push_back({change_kind::Removed, "spare service " + service, {}, {}, {}});
    }
}

std::string limitText(const std::map<std::string, std::uint32_t, std::less<>> &limits,
                      const std::string &service)
{
    const auto found = limits.find(service);
    return found == limits.end() ? std::string() : std::to_string(found->second);
}

void compareConnectionLimits(const cell_configuration &before, const cell_configuration &after,
                             change_list &changes)
{
    auto services = before.connectionLimits;
    services.insert(after.connectionLimits.begin(), after.connectionLimits.end());
    for (const auto &[service, limit] : services) {
        const auto former = limitText(before.connectionLimits, service);
        const auto next = limitText(after.connectionLimits, service);
        if (former != next) {
            changes.push_back(
                {change_kind::Changed, "service " + service, "worker connections", former, next});
        }
    }
}

} // namespace

change_list configurationChanges(const cell_configuration &inForce, const cell_configuration &next)
{
    change_list changes;
    const std::string whole = "configuration";
    if (inForce.version != next.version) {
        changes.push_back({change_kind::Changed, whole, "version", std::to_string(inForce.version),
                           std::to_string(next.version)});
    }
    addChanged(changes, whole, "keys needed", !inForce.workspaces.empty(),
               !next.workspaces.empty());
    addChanged(changes, whole, "body bytes", inForce.bodyBytes, next.bodyBytes);
    compareSpareServices(inForce.spareServices, next.spareServices, changes);
    compareConnectionLimits(inForce, next, changes);
    compareEntries("queue", inForce.queues, next.queues, changes);
    compareEntries("workspace", inForce.workspaces, next.workspaces, changes);
    return changes;
}

std::vector<configuration_finding> reviewVersion(const cell_configuration &inForce,
                                                 const cell_configuration &next)
{
    const auto numbers =
        std::to_string(next.version) + " and " + std::to_string(inForce.version) + " in force";
    if (next.version < inForce.version) {
        return {{finding_level::Error, "version",
                 "it is lower than the one in force, so that instances ignore it: " + numbers}};
    }
    if (next.version == inForce.version && !configurationChanges(inForce, next).empty()) {
        return {{finding_level::Warning, "version",
                 "it is the same as the one in force, though the content differs"}};
    }
    return {};
}

} // namespace plantaingap::jobs
