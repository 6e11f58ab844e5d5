#ifndef PLANTAINGAP_JOBS_WORKSPACES_WORKSPACE_H
#define PLANTAINGAP_JOBS_WORKSPACES_WORKSPACE_H

#include <array>
#include <cstdint>
#include <plantaingap/resources.h>
#include <string>
#include <string_view>
#include <vector>

// Workspaces: organisations whose callers share a cell, as declared in the configuration.
namespace plantaingap::jobs {

// SHA-256 of a key. Keys themselves are never held, so that no log, row or core dump has them.
struct key_digest
{
    std::array<std::uint8_t, 32> bytes {};

    bool operator==(const key_digest &) const = default;
    bool operator<(const key_digest &other) const { return bytes < other.bytes; }
};

key_digest digestOfKey(std::string_view key);

struct workspace_definition
{
    std::string name;
    std::vector<key_digest> keys;
    // Jobs a second that are within the workspace's share, and its share when the fleet is full.
    double weight = 0;
    // What may run on all workers together; 0 means no limit of that resource.
    resources limit;

    bool operator==(const workspace_definition &) const = default;
};

} // namespace plantaingap::jobs

#endif
