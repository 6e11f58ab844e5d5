#ifndef PLANTAINGAP_OPERATOR_DOCUMENT_VALUES_H
#define PLANTAINGAP_OPERATOR_DOCUMENT_VALUES_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <plantaingap/time.h>
#include <string>
#include <string_view>

// The written forms of values that carry a unit. Each format function writes what its parse
// function reads back unchanged.
namespace plantaingap::operators {

// "250ms", "2s", "5m" or "1h": a whole number and its unit.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
std::string formatDuration(std::chrono::milliseconds value);

// "512MiB", "128GiB" or "2TiB", in MiB.
std::optional<std::int64_t> parseMemory(std::string_view text);
std::string formatMemory(std::int64_t mebibytes);

// "2026-12-04T06:00:00Z": UTC to the second.
std::optional<wall_time> parseWallTime(std::string_view text);
std::string formatWallTime(wall_time value);

// Lower-case letters, digits, '-', '_' and '.', beginning with a letter or digit, at most 63.
bool isName(std::string_view text);

// The fewest insertions, deletions and replacements that turn one word into the other.
std::size_t editDistance(std::string_view left, std::string_view right);

} // namespace plantaingap::operators

#endif
