#ifndef PLANTAINGAP_OPERATOR_DIFFERENCE_TABLES_H
#define PLANTAINGAP_OPERATOR_DIFFERENCE_TABLES_H

#include "operator/configuration_difference.h"
#include "operator/configuration_tables.h"

// The form in which differences are sent and stored.
namespace plantaingap::operators {

template<class Declaration>
struct document_table<section_difference<Declaration>>
{
    using section = section_difference<Declaration>;
    static constexpr std::string_view title = "Changes of a section";
    static constexpr std::string_view doc = "Declarations put in place and names removed.";
    static constexpr auto fields =
        std::make_tuple(optional("put", &section::put, anyValue, "New or replaced."),
                        optional("removed", &section::removed, nameRule, "Removed, by name."));
};

template<>
struct document_table<configuration_difference>
{
    static constexpr std::string_view title = "Difference";
    static constexpr std::string_view doc = "What changes from one set to another.";
    static constexpr auto fields = std::make_tuple(
        required("from", &configuration_difference::from, filledRule, "Digest before."),
        required("to", &configuration_difference::to, filledRule, "Digest after."),
        optional("services", &configuration_difference::services, anyValue, "Services."),
        optional("teams", &configuration_difference::teams, anyValue, "Teams."),
        optional("jobs", &configuration_difference::jobs, anyValue, "Jobs."),
        optional("worker_classes", &configuration_difference::workerClasses, anyValue,
                 "Worker classes."),
        optional("groups", &configuration_difference::groups, anyValue, "The rule of groups."));
};

} // namespace plantaingap::operators

#endif
