#include "jobs/workspaces/key_directory.h"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace plantaingap::jobs {

namespace {

constexpr std::string_view bearerPrefix = "bearer ";

// The name of an authentication scheme has no case.
bool hasBearerScheme(std::string_view authorization)
{
    const auto isSame = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    return authorization.size() > bearerPrefix.size()
           && std::ranges::equal(authorization.substr(0, bearerPrefix.size()), bearerPrefix,
                                 isSame);
}

} // namespace

std::size_t key_directory::digest_hash::operator()(const key_digest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
    return hash;
}

key_directory::key_directory(const std::vector<workspace_definition> &workspaces)
    : m_required(!workspaces.empty())
{
    for (const auto &workspace : workspaces) {
        for (const auto &key : workspace.keys)
            m_workspaces.emplace(key, workspace.name);
    }
}

const std::string *key_directory::find(std::string_view authorization) const
{
    if (m_workspaces.empty() || !hasBearerScheme(authorization))
        return nullptr;
    const auto found = m_workspaces.find(digestOfKey(authorization.substr(bearerPrefix.size())));
    return found == m_workspaces.end() ? nullptr : &found->second;
}

void key_directory::revokeMissing(const std::vector<workspace_definition> &workspaces)
{
    const key_directory other(workspaces);
    std::erase_if(m_workspaces, [&other](const auto &entry) {
        return !other.m_workspaces.contains(entry.first);
    });
}

} // namespace plantaingap::jobs
