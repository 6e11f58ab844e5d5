#ifndef PLANTAINGAP_OPERATOR_CELL_CHECK_TABLES_H
#define PLANTAINGAP_OPERATOR_CELL_CHECK_TABLES_H

#include "operator/document_table.h"

#include <plantaingap/cell_check.h>

// The tables by which the report of check-cell is written as JSON.
namespace plantaingap::operators {

template<>
struct enum_names<cell_finding_level>
{
    static constexpr std::array<std::pair<std::string_view, cell_finding_level>, 2> names {
        {{"error", cell_finding_level::Error}, {"warning", cell_finding_level::Warning}}};
};

template<>
struct enum_names<cell_change_kind>
{
    static constexpr std::array<std::pair<std::string_view, cell_change_kind>, 3> names {
        {{"added", cell_change_kind::Added},
         {"removed", cell_change_kind::Removed},
         {"changed", cell_change_kind::Changed}}};
};

template<>
struct document_table<cell_finding>
{
    static constexpr auto fields =
        std::make_tuple(required("level", &cell_finding::level, anyValue, ""),
                        required("file", &cell_finding::file, anyValue, ""),
                        optional("line", &cell_finding::line, anyValue, ""),
                        optional("entry", &cell_finding::entry, anyValue, ""),
                        required("message", &cell_finding::message, anyValue, ""));
};

template<>
struct document_table<cell_change>
{
    static constexpr auto fields =
        std::make_tuple(required("kind", &cell_change::kind, anyValue, ""),
                        required("entry", &cell_change::entry, anyValue, ""),
                        optional("field", &cell_change::field, anyValue, ""),
                        optional("before", &cell_change::before, anyValue, ""),
                        optional("after", &cell_change::after, anyValue, ""));
};

template<>
struct document_table<cell_check_report>
{
    static constexpr auto fields =
        std::make_tuple(required("findings", &cell_check_report::findings, anyValue, ""),
                        required("changes", &cell_check_report::changes, anyValue, ""));
};

} // namespace plantaingap::operators

#endif
