#ifndef PLANTAINGAP_SUPPORT_STABLE_ID_H
#define PLANTAINGAP_SUPPORT_STABLE_ID_H

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

// Numbers for names that all instances must agree on without asking one another: the first bytes of
// the name's SHA-256. Two names of one kind that meet in a number are found where names are listed;
// for 2,700 workers in 32 bits the odds are 1 in 1,200, for the instances less than 1 in a million.
namespace plantaingap::support {

std::uint64_t nameDigest(std::string_view name);

// The whole SHA-256 of a text in lower-case hexadecimal digits.
std::string contentDigest(std::string_view text);

template<class Id>
Id stableId(std::string_view name)
{
    // 0 is kept for "none".
    const auto digest = static_cast<std::underlying_type_t<Id>>(nameDigest(name));
    return static_cast<Id>(digest == 0 ? 1 : digest);
}

} // namespace plantaingap::support

#endif
