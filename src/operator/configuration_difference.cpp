#include "operator/configuration_difference.h"

#include "operator/configuration_tables.h"
#include "operator/difference_tables.h"
#include "operator/document_reader.h"
#include "operator/document_writer.h"

#include <algorithm>

namespace plantaingap::operators {

namespace {

template<class Declaration>
const Declaration *findByName(const std::vector<Declaration> &all, std::string_view name)
{
    const auto found = std::ranges::find(all, name, &Declaration::name);
    return found == all.end() ? nullptr : &*found;
}

// Both lists are sorted by name, so that one pass over the two tells what changed.
template<class Declaration>
section_difference<Declaration> sectionDifference(const std::vector<Declaration> &before,
                                                  const std::vector<Declaration> &after)
{
    section_difference<Declaration> difference;
    auto old = before.begin();
    auto fresh = after.begin();
    while (old != before.end() || fresh != after.end()) {
        if (fresh == after.end() || (old != before.end() && old->name < fresh->name)) {
            difference.removed.push_back(old->name);
            ++old;
            continue;
        }
        const bool both = old != before.end() && old->name == fresh->name;
        if (!both || *old != *fresh)
            difference.put.push_back(*fresh);
        if (both)
            ++old;
        ++fresh;
    }
    return difference;
}

template<class Declaration>
void applySection(std::vector<Declaration> &all, const section_difference<Declaration> &difference)
{
    const auto replaced = [&](const Declaration &each) {
        return std::ranges::count(difference.removed, each.name) > 0
               || findByName(difference.put, each.name) != nullptr;
    };
    std::erase_if(all, replaced);
    all.insert(all.end(), difference.put.begin(), difference.put.end());
}

// Compares two declarations of one name key by key.
template<class Declaration>
void addFieldChanges(std::vector<declaration_change> &changes, const std::string &path,
                     const Declaration &before, const Declaration &after)
{
    const auto old = writeObject(before, defaults::Written);
    const auto fresh = writeObject(after, defaults::Written);
    const auto textOf = [](const boost::json::object &object, std::string_view key) {
        const auto *value = object.if_contains(key);
        return value ? boost::json::serialize(*value) : std::string();
    };
    forEachField<Declaration>([&](const auto &each) {
        const auto oldText = textOf(old, each.key);
        const auto freshText = textOf(fresh, each.key);
        if (oldText != freshText)
            changes.push_back(
                {change_kind::Changed, childPointer(path, each.key), oldText, freshText});
    });
}

template<class Declaration>
void addSectionChanges(std::vector<declaration_change> &changes, const std::string &section,
                       const std::vector<Declaration> &before,
                       const std::vector<Declaration> &after)
{
    const auto difference = sectionDifference(before, after);
    for (const auto &name : difference.removed) {
        const auto *old = findByName(before, name);
        changes.push_back({change_kind::Removed, childPointer(section, name),
                           writeText(*old, defaults::Omitted), ""});
    }
    for (const auto &fresh : difference.put) {
        const auto path = childPointer(section, fresh.name);
        if (const auto *old = findByName(before, fresh.name))
            addFieldChanges(changes, path, *old, fresh);
        else
            changes.push_back({change_kind::Added, path, "", writeText(fresh, defaults::Omitted)});
    }
}

} // namespace

configuration_difference differenceOf(const configuration_set &before,
                                      const configuration_set &after)
{
    const auto &old = before.declared;
    const auto &fresh = after.declared;
    configuration_difference difference;
    difference.from = before.digest;
    difference.to = after.digest;
    difference.services = sectionDifference(old.services, fresh.services);
    difference.teams = sectionDifference(old.teams, fresh.teams);
    difference.jobs = sectionDifference(old.jobs, fresh.jobs);
    difference.workerClasses = sectionDifference(old.workerClasses, fresh.workerClasses);
    if (old.groups != fresh.groups)
        difference.groups = fresh.groups;
    return difference;
}

result<configuration_set> applyDifference(const configuration_set &before,
                                          const configuration_difference &difference)
{
    if (before.digest != difference.from)
        return make_error_code(errc::VersionConflict);
    configuration declared = before.declared;
    applySection(declared.services, difference.services);
    applySection(declared.teams, difference.teams);
    applySection(declared.jobs, difference.jobs);
    applySection(declared.workerClasses, difference.workerClasses);
    declared.groups = difference.groups.value_or(declared.groups);
    auto after = makeSet(std::move(declared));
    if (after.digest != difference.to)
        return make_error_code(errc::Malformed);
    return after;
}

std::string differenceText(const configuration_difference &difference)
{
    return writeText(difference, defaults::Omitted);
}

result<configuration_difference> parseDifference(std::string_view text)
{
    return readMessage<configuration_difference>(text);
}

std::vector<declaration_change> changesBetween(const configuration &before,
                                               const configuration &after)
{
    std::vector<declaration_change> changes;
    addSectionChanges(changes, "/services", before.services, after.services);
    addSectionChanges(changes, "/teams", before.teams, after.teams);
    addSectionChanges(changes, "/jobs", before.jobs, after.jobs);
    addSectionChanges(changes, "/worker_classes", before.workerClasses, after.workerClasses);
    if (before.groups != after.groups)
        changes.push_back({change_kind::Changed, "/groups", std::string(enumName(before.groups)),
                           std::string(enumName(after.groups))});
    return changes;
}

} // namespace plantaingap::operators
