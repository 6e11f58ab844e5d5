#include "operator/authentication.h"

#include "operator/files.h"

#include <algorithm>
#include <openssl/crypto.h>

namespace plantaingap::operators {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

} // namespace

boost::system::result<authenticator, findings>
authenticator::load(const std::vector<principal_settings> &principals)
{
    authenticator loaded;
    findings found;
    for (const auto &each : principals) {
        const auto token = readSecret(each.tokenFile);
        if (!token) {
            found.push_back({each.tokenFile, 0, "",
                             "no token of at least " + std::to_string(secretMinimum)
                                 + " characters: " + token.error().message()});
            continue;
        }
        auto digest = sha256(*token);
        if (std::ranges::count(loaded.m_tokens, digest, &known_token::digest) > 0)
            found.push_back({each.tokenFile, 0, "", "another principal has the same token"});
        loaded.m_tokens.push_back({std::move(digest), {each.name, each.role}});
    }
    if (!found.empty())
        return found;
    return loaded;
}

const principal *authenticator::authenticate(std::string_view header) const
{
    if (!header.starts_with(bearerPrefix))
        return nullptr;
    const auto digest = sha256(header.substr(bearerPrefix.size()));
    const principal *match = nullptr;
    for (const auto &token : m_tokens) {
        if (CRYPTO_memcmp(token.digest.data(), digest.data(), digest.size()) == 0)
            match = &token.owner;
    }
    return match;
}

} // namespace plantaingap::operators
