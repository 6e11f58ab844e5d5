#include "operator/document_values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <limits>
#include <locale>
#include <numeric>
#include <sstream>
#include <vector>

namespace plantaingap::operators {

namespace {

struct unit_row
{
    std::string_view suffix;
    std::int64_t factor;
};

// From the largest down, so that formatting finds the shortest form.
constexpr std::array<unit_row, 4> durationUnits {
    {{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}}};
constexpr std::array<unit_row, 3> memoryUnits {{{"TiB", 1024 * 1024}, {"GiB", 1024}, {"MiB", 1}}};
constexpr std::size_t nameLimit = 63;

template<std::size_t Count>
std::optional<std::int64_t> parseWithUnit(std::string_view text,
                                          const std::array<unit_row, Count> &units)
{
    std::int64_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    if (parsed.ec != std::errc {} || count < 0)
        return std::nullopt;
    const auto suffix = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
    const auto unit = std::ranges::find(units, suffix, &unit_row::suffix);
    if (unit == units.end() || count > std::numeric_limits<std::int64_t>::max() / unit->factor)
        return std::nullopt;
    return count * unit->factor;
}

template<std::size_t Count>
std::string formatWithUnit(std::int64_t value, const std::array<unit_row, Count> &units)
{
    const auto fits = [value](const unit_row &unit) { return value % unit.factor == 0; };
    const auto unit = value == 0 ? std::prev(units.end()) : std::ranges::find_if(units, fits);
    return std::to_string(value / unit->factor) + std::string(unit->suffix);
}

constexpr const char *wallTimeFormat = "%Y-%m-%dT%H:%M:%SZ";

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const auto count = parseWithUnit(text, durationUnits);
    if (!count)
        return std::nullopt;
    return std::chrono::milliseconds(*count);
}

std::string formatDuration(std::chrono::milliseconds value)
{
    return formatWithUnit(value.count(), durationUnits);
}

std::optional<std::int64_t> parseMemory(std::string_view text)
{
    return parseWithUnit(text, memoryUnits);
}

std::string formatMemory(std::int64_t mebibytes)
{
    return formatWithUnit(mebibytes, memoryUnits);
}

std::optional<wall_time> parseWallTime(std::string_view text)
{
    std::tm parts {};
    std::istringstream stream {std::string(text)};
    stream.imbue(std::locale::classic());
    stream >> std::get_time(&parts, wallTimeFormat);
    if (stream.fail())
        return std::nullopt;
    const auto value = wall_time(std::chrono::seconds(timegm(&parts)));
    // Refuses what get_time lets pass: 31 February, single digits, anything after the Z.
    if (formatWallTime(value) != text)
        return std::nullopt;
    return value;
}

std::string formatWallTime(wall_time value)
{
    const auto whole = std::chrono::floor<std::chrono::seconds>(value).time_since_epoch();
    const std::time_t seconds = whole.count();
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream stream;
    stream.imbue(std::locale::classic());
    stream << std::put_time(&parts, wallTimeFormat);
    return stream.str();
}

bool isName(std::string_view text)
{
    const auto alphanumeric = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
    };
    const auto allowed = [&](char letter) {
        return alphanumeric(letter) || letter == '-' || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= nameLimit && alphanumeric(text.front())
           && std::ranges::all_of(text, allowed);
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t {0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

} // namespace plantaingap::operators
