#include "operator/cli_output.h"

#include "operator/cell_check_tables.h"

#include <algorithm>

namespace plantaingap::operators {

std::string cellText(const boost::json::value &value)
{
    if (const auto *text = value.if_string())
        return std::string(text->c_str(), text->size());
    if (!value.is_object())
        return boost::json::serialize(value);
    std::string all;
    for (const auto &member : value.get_object()) {
        if (!all.empty())
            all += ' ';
        all += std::string(member.key()) + "=" + cellText(member.value());
    }
    return all;
}

void printColumns(std::ostream &out, const std::vector<std::string> &names,
                  const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths(names.size());
    std::ranges::transform(names, widths.begin(), &std::string::size);
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    const auto printRow = [&](const std::vector<std::string> &row) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    };
    printRow(names);
    for (const auto &row : rows)
        printRow(row);
}

void printFindings(std::ostream &out, const findings &found)
{
    for (const auto &each : found) {
        out << each.file;
        if (each.line > 0)
            out << ':' << each.line;
        out << ": " << (each.path.empty() ? "" : each.path + ": ") << each.message << '\n';
    }
}

void printChanges(std::ostream &out, const std::vector<declaration_change> &changes)
{
    for (const auto &change : changes) {
        switch (change.kind) {
        case change_kind::Added:
            out << "+ " << change.path << ' ' << change.after << '\n';
            break;
        case change_kind::Removed:
            out << "- " << change.path << ' ' << change.before << '\n';
            break;
        case change_kind::Changed:
            out << "~ " << change.path << ' ' << change.before << " -> " << change.after << '\n';
            break;
        }
    }
}

void printCellFindings(std::ostream &out, const std::vector<cell_finding> &found)
{
    for (const auto &each : found) {
        out << each.file;
        if (each.line > 0)
            out << ':' << each.line;
        out << ": " << enumName(each.level) << ": " << (each.entry.empty() ? "" : each.entry + ": ")
            << each.message << '\n';
    }
}

void printCellChanges(std::ostream &out, const std::vector<cell_change> &changes)
{
    for (const auto &change : changes) {
        const auto subject = change.entry + (change.field.empty() ? "" : ": " + change.field);
        switch (change.kind) {
        case cell_change_kind::Added:
            out << "+ " << subject << '\n';
            break;
        case cell_change_kind::Removed:
            out << "- " << subject << '\n';
            break;
        case cell_change_kind::Changed:
            out << "~ " << subject << ' ' << change.before << " -> " << change.after << '\n';
            break;
        }
    }
}

void printRefusal(std::ostream &out, const refusal_message &refusal)
{
    out << refusal.code << ": " << refusal.message << '\n';
    printFindings(out, refusal.found);
    printChanges(out, refusal.changes);
}

} // namespace plantaingap::operators
