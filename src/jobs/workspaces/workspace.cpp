#include "jobs/workspaces/workspace.h"

#include <openssl/sha.h>

namespace plantaingap::jobs {

key_digest digestOfKey(std::string_view key)
{
    key_digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

} // namespace plantaingap::jobs
