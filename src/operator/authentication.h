#ifndef PLANTAINGAP_OPERATOR_AUTHENTICATION_H
#define PLANTAINGAP_OPERATOR_AUTHENTICATION_H

#include "operator/settings.h"

#include <plantaingap/result.h>
#include <string>
#include <string_view>
#include <vector>

namespace plantaingap::operators {

// Someone whose token was recognised.
struct principal
{
    std::string name;
    principal_role role = principal_role::Submitter;
};

// Knows principals by their bearer tokens. Only digests of tokens are held, and a token is compared
// with all of them in constant time, so that an answer's delay tells nothing about any.
class authenticator
{
public:
    // Reads the token files; a file that cannot be read, a token that is too short and a token that
    // two principals share are findings.
    static boost::system::result<authenticator, findings>
    load(const std::vector<principal_settings> &principals);

    // The principal of an Authorization header; null when there is none.
    const principal *authenticate(std::string_view header) const;

private:
    struct known_token
    {
        std::string digest;
        principal owner;
    };

    std::vector<known_token> m_tokens;
};

} // namespace plantaingap::operators

#endif
