#ifndef PLANTAINGAP_JOBS_WORKSPACES_KEY_DIRECTORY_H
#define PLANTAINGAP_JOBS_WORKSPACES_KEY_DIRECTORY_H

#include "jobs/workspaces/workspace.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantaingap::jobs {

// Finds the workspace of a caller's key. Holds digests only; as callers cannot choose the digest of
// a key, the time of a look-up tells nothing about the keys that are known.
class key_directory
{
public:
    key_directory() = default;
    explicit key_directory(const std::vector<workspace_definition> &workspaces);

    // Whether requests need a key, unless their queue is open.
    bool required() const { return m_required; }
    // The workspace of an Authorization header ("Bearer KEY"); null for a missing or unknown key.
    const std::string *find(std::string_view authorization) const;
    // Removes the keys that these workspaces do not have, and adds none.
    void revokeMissing(const std::vector<workspace_definition> &workspaces);
    std::size_t size() const { return m_workspaces.size(); }

private:
    struct digest_hash
    {
        std::size_t operator()(const key_digest &digest) const;
    };

    std::unordered_map<key_digest, std::string, digest_hash> m_workspaces;
    bool m_required = false;
};

} // namespace plantaingap::jobs

#endif
