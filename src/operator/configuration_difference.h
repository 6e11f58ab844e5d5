#ifndef PLANTAINGAP_OPERATOR_CONFIGURATION_DIFFERENCE_H
#define PLANTAINGAP_OPERATOR_CONFIGURATION_DIFFERENCE_H

#include "operator/configuration_set.h"

#include <optional>
#include <plantaingap/configuration.h>
#include <plantaingap/result.h>
#include <string>
#include <string_view>
#include <vector>

// What changes from one set to another, declaration by declaration. Instances and operators send
// differences, not sets: at thousands of changes a day nearly all touch one declaration.
namespace plantaingap::operators {

// The changes of one section. Declarations in put are new or replace those of their name.
template<class Declaration>
struct section_difference
{
    std::vector<Declaration> put;
    std::vector<std::string> removed;

    bool operator==(const section_difference &) const = default;
};

struct configuration_difference
{
    // Digests of the sets before and after.
    std::string from;
    std::string to;
    section_difference<service_declaration> services;
    section_difference<team_declaration> teams;
    section_difference<job_declaration> jobs;
    section_difference<worker_class_declaration> workerClasses;
    std::optional<group_rule> groups;

    bool operator==(const configuration_difference &) const = default;
};

configuration_difference differenceOf(const configuration_set &before,
                                      const configuration_set &after);

// The set after the difference. errc::VersionConflict when the difference was made from another
// set; errc::Malformed when it does not lead to the digest that it names.
result<configuration_set> applyDifference(const configuration_set &before,
                                          const configuration_difference &difference);

std::string differenceText(const configuration_difference &difference);
result<configuration_difference> parseDifference(std::string_view text);

enum class change_kind : std::uint8_t { Added, Removed, Changed };

// One change as people read it.
struct declaration_change
{
    change_kind kind = change_kind::Changed;
    // For example /services/search or /services/search/queue_limit.
    std::string path;
    // JSON texts; empty for what was not there.
    std::string before;
    std::string after;

    bool operator==(const declaration_change &) const = default;
};

std::vector<declaration_change> changesBetween(const configuration &before,
                                               const configuration &after);

} // namespace plantaingap::operators

#endif
