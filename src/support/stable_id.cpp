#include "support/stable_id.h"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/sha.h>

namespace plantaingap::support {

namespace {

std::array<unsigned char, SHA256_DIGEST_LENGTH> digestOf(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return digest;
}

} // namespace

std::uint64_t nameDigest(std::string_view name)
{
    const auto digest = digestOf(name);
    std::uint64_t number = 0;
    for (std::size_t at = 0; at < sizeof(number); ++at)
        number = number << 8 | digest[at];
    return number;
}

std::string contentDigest(std::string_view text)
{
    const auto digest = digestOf(text);
    std::string digits;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(digits));
    return digits;
}

} // namespace plantaingap::support
