#ifndef PLANTAINGAP_CELL_CHECK_H
#define PLANTAINGAP_CELL_CHECK_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

// The check of a cell's configuration as the operators' program runs it. Its format is known only
// to the code that meets the users' platform, which the program passes in.
namespace plantaingap {

enum class cell_finding_level : std::uint8_t {
    // Instances do not activate the configuration.
    Error,
    // They activate it, though an entry has no effect or contradicts another.
    Warning,
};

struct cell_finding
{
    cell_finding_level level = cell_finding_level::Error;
    std::string file;
    // 1-based; 0 when the finding applies to the whole file.
    int line = 0;
    // Such as "queue r-f38"; empty when the finding applies to the whole file.
    std::string entry;
    std::string message;

    bool operator==(const cell_finding &) const = default;
};

enum class cell_change_kind : std::uint8_t { Added, Removed, Changed };

struct cell_change
{
    cell_change_kind kind = cell_change_kind::Changed;
    std::string entry;
    // Empty for a whole entry.
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const cell_change &) const = default;
};

struct cell_check_report
{
    std::vector<cell_finding> findings;
    // Differences from the version in force; empty if there is none to compare with.
    std::vector<cell_change> changes;
};

// A file's name, as findings give it, and its text.
struct named_text
{
    std::string name;
    std::string text;
};

// Checks a configuration, and compares it with the version in force if that is given. The report
// names keys of workspaces by their number only.
using cell_check = std::function<cell_check_report(const named_text &configuration,
                                                   const std::optional<named_text> &inForce)>;

} // namespace plantaingap

#endif
