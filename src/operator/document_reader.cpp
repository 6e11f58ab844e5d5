#include "operator/document_reader.h"

#include "operator/document_values.h"
#include "support/http_client.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace plantaingap::operators {

namespace {

// Units whose values are held in thousandths.
constexpr double thousandths = 1000;
// Values beyond this are refused before they are converted to an integer.
constexpr double decimalLimit = 1e12;

bool heldInThousandths(value_unit unit)
{
    return unit == value_unit::Cores || unit == value_unit::Megabits;
}

std::string formatBound(std::int64_t value, const value_rule &rule)
{
    switch (rule.unit) {
    case value_unit::None:
        return std::to_string(value);
    case value_unit::Cores:
        return std::to_string(static_cast<double>(value) / thousandths) + " cores";
    case value_unit::Megabits:
        return std::to_string(static_cast<double>(value) / thousandths) + " Mbit/s";
    case value_unit::Memory:
        return formatMemory(value);
    }
    return "";
}

} // namespace

document_reader::path_step::path_step(std::string &path, std::string_view token)
    : m_path(path)
    , m_length(path.size())
{
    m_path = childPointer(m_path, token);
}

document_reader::document_reader(std::string file, unknown_keys unknown, findings &found)
    : m_file(std::move(file))
    , m_unknown(unknown)
    , m_findings(found)
{ }

void document_reader::add(int line, std::string message)
{
    m_findings.push_back({m_file, line, m_path, std::move(message)});
}

bool document_reader::expect(const support::json_node &node, support::json_kind kind)
{
    if (node.kind == kind)
        return true;
    add(node.line, "must be " + std::string(support::kindName(kind)) + ", not "
                       + std::string(support::kindName(node.kind)));
    return false;
}

void document_reader::refuseChoice(const support::json_node &node,
                                   const std::vector<std::string_view> &choices)
{
    std::string list;
    for (const auto choice : choices)
        list += (list.empty() ? "" : ", ") + std::string(choice);
    add(node.line, "'" + node.text + "' is none of " + list + nearestNameHint(node.text, choices));
}

void document_reader::checkRange(const support::json_node &node, std::int64_t value,
                                 const value_rule &rule)
{
    if (value < rule.lowest)
        add(node.line, "must be at least " + formatBound(rule.lowest, rule));
    if (value > rule.highest)
        add(node.line, "must be at most " + formatBound(rule.highest, rule));
}

void document_reader::checkMembers(const support::json_node &node,
                                   const std::vector<std::string_view> &known)
{
    std::map<std::string_view, int> seen;
    for (const auto &member : node.members) {
        const path_step step(m_path, member.key);
        const auto [first, fresh] = seen.emplace(member.key, member.line);
        if (!fresh)
            add(member.line, "key stands twice, first in line " + std::to_string(first->second));
        if (m_unknown == unknown_keys::Refuse && std::ranges::count(known, member.key) == 0)
            add(member.line, "unknown key" + nearestNameHint(member.key, known));
    }
}

void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::string &out)
{
    if (!expect(node, support::json_kind::String))
        return;
    if (rule.form == text_form::Name && !isName(node.text)) {
        add(node.line, "'" + node.text
                           + "' is no name: lower-case letters, digits, '-', '_' and '.', at most "
                             "63, the first a letter or digit");
        return;
    }
    if (rule.form == text_form::Filled && node.text.empty()) {
        add(node.line, "must not be empty");
        return;
    }
    out = node.text;
}

void document_reader::readValue(const support::json_node &node, const value_rule &, bool &out)
{
    if (expect(node, support::json_kind::Boolean))
        out = node.boolean;
}

void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::int64_t &out)
{
    std::int64_t value = 0;
    if (rule.unit == value_unit::Memory) {
        if (!expect(node, support::json_kind::String))
            return;
        const auto parsed = parseMemory(node.text);
        if (!parsed) {
            add(node.line, "'" + node.text + "' is no size: a whole number with MiB, GiB or TiB");
            return;
        }
        value = *parsed;
    } else if (heldInThousandths(rule.unit) && node.kind == support::json_kind::Number
               && std::abs(node.number) < decimalLimit) {
        value = std::llround(node.number * thousandths);
    } else if (!expect(node, support::json_kind::Integer)) {
        return;
    } else if (heldInThousandths(rule.unit)) {
        value = std::abs(node.number) < decimalLimit ? node.integer * 1000 : -1;
    } else {
        value = node.integer;
    }
    checkRange(node, value, rule);
    out = value;
}

void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::uint64_t &out)
{
    auto value = static_cast<std::int64_t>(out);
    readValue(node, rule, value);
    out = static_cast<std::uint64_t>(std::max<std::int64_t>(value, 0));
}

void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::uint32_t &out)
{
    constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
    value_rule narrowed = rule;
    narrowed.highest = std::min(rule.highest, highest);
    std::int64_t value = out;
    readValue(node, narrowed, value);
    out = static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, highest));
}

void document_reader::readValue(const support::json_node &node, const value_rule &rule, int &out)
{
    constexpr std::int64_t highest = std::numeric_limits<int>::max();
    value_rule narrowed = rule;
    narrowed.highest = std::min(rule.highest, highest);
    std::int64_t value = out;
    readValue(node, narrowed, value);
    out = static_cast<int>(std::clamp<std::int64_t>(value, -highest, highest));
}

void document_reader::readValue(const support::json_node &node, const value_rule &rule,
                                std::chrono::milliseconds &out)
{
    if (!expect(node, support::json_kind::String))
        return;
    const auto parsed = parseDuration(node.text);
    if (!parsed) {
        add(node.line, "'" + node.text + "' is no duration: a whole number with ms, s, m or h");
        return;
    }
    if (parsed->count() < rule.lowest)
        add(node.line,
            "must be at least " + formatDuration(std::chrono::milliseconds(rule.lowest)));
    if (parsed->count() > rule.highest)
        add(node.line,
            "must be at most " + formatDuration(std::chrono::milliseconds(rule.highest)));
    out = *parsed;
}

void document_reader::readValue(const support::json_node &node, const value_rule &, wall_time &out)
{
    if (!expect(node, support::json_kind::String))
        return;
    const auto parsed = parseWallTime(node.text);
    if (!parsed) {
        add(node.line, "'" + node.text + "' is no time: write 2026-12-04T06:00:00Z");
        return;
    }
    out = *parsed;
}

void document_reader::readValue(const support::json_node &node, const value_rule &,
                                boost::asio::ip::tcp::endpoint &out)
{
    if (!expect(node, support::json_kind::String))
        return;
    const auto parsed = support::parseEndpoint(node.text);
    if (!parsed) {
        add(node.line, "'" + node.text + "' is no address: an IP number, ':' and a port");
        return;
    }
    out = *parsed;
}

std::string nearestNameHint(std::string_view name, const std::vector<std::string_view> &known)
{
    // A third of the word may be wrong, one letter always.
    std::size_t nearest = std::max<std::size_t>(1, name.size() / 3) + 1;
    std::string_view best;
    for (const auto candidate : known) {
        const auto distance = editDistance(name, candidate);
        if (distance >= nearest)
            continue;
        nearest = distance;
        best = candidate;
    }
    return best.empty() ? "" : " (did you mean '" + std::string(best) + "'?)";
}

bool isClean(const findings &found, std::string_view file, std::string_view path)
{
    return std::ranges::none_of(found, [&](const finding &each) {
        const bool below = each.path.starts_with(path)
                           && (each.path.size() == path.size() || each.path[path.size()] == '/');
        return each.file == file && below;
    });
}

std::string childPointer(std::string_view pointer, std::string_view token)
{
    std::string child(pointer);
    child += '/';
    for (const char letter : token) {
        if (letter == '~')
            child += "~0";
        else if (letter == '/')
            child += "~1";
        else
            child += letter;
    }
    return child;
}

} // namespace plantaingap::operators
