#ifndef PLANTAINGAP_JOBS_WORKSPACES_CONFIGURATION_REVIEW_H
#define PLANTAINGAP_JOBS_WORKSPACES_CONFIGURATION_REVIEW_H

#include "jobs/job.h"

#include <cstdint>
#include <string>
#include <vector>

// Finds what is wrong with a configuration as a whole.
namespace plantaingap::jobs {

enum class finding_level : std::uint8_t {
    // The configuration is not activated.
    Error,
    // It is activated, though an entry has no effect or contradicts another.
    Warning,
};

struct configuration_finding
{
    finding_level level = finding_level::Error;
    // The entry, such as "workspace kaje80" or "queue r-f38".
    std::string entry;
    std::string message;

    bool operator==(const configuration_finding &) const = default;
};

// Findings in the order of the configuration. Keys are named by their number within the workspace
// only.
std::vector<configuration_finding> reviewConfiguration(const cell_configuration &configuration);

// What remains of a configuration with errors when no earlier one is known: workspaces with errors
// keep no key and run one task at a time, because their limits are unknown.
cell_configuration soundPart(cell_configuration configuration,
                             const std::vector<configuration_finding> &findings);

// Whether one of them keeps the configuration from being activated.
bool hasErrors(const std::vector<configuration_finding> &findings);

} // namespace plantaingap::jobs

#endif
