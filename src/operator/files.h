#ifndef PLANTAINGAP_OPERATOR_FILES_H
#define PLANTAINGAP_OPERATOR_FILES_H

#include <plantaingap/result.h>
#include <string>
#include <vector>

namespace plantaingap::operators {

// The whole text of a file; files over the limit are refused with errc::TooLarge.
inline constexpr std::size_t fileLimit = std::size_t {16} << 20;
result<std::string> readFile(const std::string &name);

// A secret that stands alone in a file; blanks and the line end around it are dropped. A secret
// shorter than the limit is refused with errc::Malformed.
inline constexpr std::size_t secretMinimum = 16;
result<std::string> readSecret(const std::string &name);

// The *.json files of a folder, sorted by name.
result<std::vector<std::string>> jsonFiles(const std::string &folder);

// The SHA-256 of a text in hexadecimal.
std::string sha256(std::string_view text);

} // namespace plantaingap::operators

#endif
