#ifndef PLANTAINGAP_JOBS_WORKSPACES_CONFIGURATION_CHANGES_H
#define PLANTAINGAP_JOBS_WORKSPACES_CONFIGURATION_CHANGES_H

#include "jobs/workspaces/configuration_review.h"

#include <cstdint>
#include <string>
#include <vector>

// What a new version of a configuration changes.
namespace plantaingap::jobs {

enum class configuration_change_kind : std::uint8_t { Added, Removed, Changed };

struct configuration_change
{
    configuration_change_kind kind = configuration_change_kind::Changed;
    // The entry, such as "queue r-f38"; a further entry of the same name has its number behind it.
    std::string entry;
    // The field that differs, such as "weight" or "key 2"; empty for a whole entry.
    std::string field;
    // Empty for what is not there, and for keys.
    std::string before;
    std::string after;

    bool operator==(const configuration_change &) const = default;
};

// Changes of the configuration as a whole, then of queues, then of workspaces; removed entries
// come last. Entries are matched by kind and name. Keys are named by their number: an added key by
// that in the new version, a removed one by that in the version in force.
std::vector<configuration_change> configurationChanges(const cell_configuration &inForce,
                                                       const cell_configuration &next);

// Whether the version number lets the new configuration replace the one in force. A lower number
// is an error, because instances ignore it; the same number with changes is a warning.
std::vector<configuration_finding> reviewVersion(const cell_configuration &inForce,
                                                 const cell_configuration &next);

} // namespace plantaingap::jobs

#endif
