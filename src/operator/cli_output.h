#ifndef PLANTAINGAP_OPERATOR_CLI_OUTPUT_H
#define PLANTAINGAP_OPERATOR_CLI_OUTPUT_H

#include "operator/api_messages.h"
#include "operator/document_writer.h"

#include <ostream>
#include <plantaingap/cell_check.h>
#include <string>
#include <string_view>
#include <vector>

namespace plantaingap::operators {

enum class output_format : std::uint8_t { Table, Json };

template<>
struct enum_names<output_format>
{
    static constexpr std::array<std::pair<std::string_view, output_format>, 2> names {
        {{"table", output_format::Table}, {"json", output_format::Json}}};
};

// The text of a member as a table's cell shows it.
std::string cellText(const boost::json::value &value);

// Columns as wide as their widest cell, under the names of the columns.
void printColumns(std::ostream &out, const std::vector<std::string> &names,
                  const std::vector<std::vector<std::string>> &rows);

// One row per struct, with the keys of its table as columns.
template<tabled Struct>
void printTable(std::ostream &out, const std::vector<Struct> &values)
{
    std::vector<std::string> names;
    forEachField<Struct>([&](const auto &each) { names.emplace_back(each.key); });
    std::vector<std::vector<std::string>> rows;
    for (const auto &value : values) {
        const auto object = writeObject(value, defaults::Written);
        auto &row = rows.emplace_back();
        for (const auto &name : names)
            row.push_back(object.contains(name) ? cellText(object.at(name)) : "");
    }
    printColumns(out, names, rows);
}

template<tabled Struct>
void printJson(std::ostream &out, const Struct &value)
{
    out << writeText(value, defaults::Written) << '\n';
}

// One line each: file:line: path: message.
void printFindings(std::ostream &out, const findings &found);

// "+ path after", "- path before" or "~ path before -> after".
void printChanges(std::ostream &out, const std::vector<declaration_change> &changes);

// One line each: file:line: level: entry: message.
void printCellFindings(std::ostream &out, const std::vector<cell_finding> &found);

// "+ entry: field", "- entry: field" or "~ entry: field before -> after".
void printCellChanges(std::ostream &out, const std::vector<cell_change> &changes);

// Why the instance refused, with its findings or with what the winner of a race changed.
void printRefusal(std::ostream &out, const refusal_message &refusal);

} // namespace plantaingap::operators

#endif
