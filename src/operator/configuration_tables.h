#ifndef PLANTAINGAP_OPERATOR_CONFIGURATION_TABLES_H
#define PLANTAINGAP_OPERATOR_CONFIGURATION_TABLES_H

#include "operator/document_table.h"

#include <plantaingap/configuration.h>

// The keys of the files of a configuration set.
namespace plantaingap::operators {

inline constexpr std::int64_t dayInMilliseconds = 24LL * 60 * 60 * 1000;
inline constexpr value_rule deadlineRule = range(1, 7 * dayInMilliseconds);

template<>
struct enum_names<decision::work_class>
{
    static constexpr std::array<std::pair<std::string_view, decision::work_class>, 3> names {
        {{"quick", decision::work_class::Quick},
         {"normal", decision::work_class::Normal},
         {"long", decision::work_class::Long}}};
};

template<>
struct enum_names<job_kind>
{
    static constexpr std::array<std::pair<std::string_view, job_kind>, 3> names {
        {{"service", job_kind::Service},
         {"batch", job_kind::Batch},
         {"all_or_nothing", job_kind::AllOrNothing}}};
};

template<>
struct enum_names<task_spread>
{
    static constexpr std::array<std::pair<std::string_view, task_spread>, 2> names {
        {{"any", task_spread::Any}, {"workers", task_spread::Workers}}};
};

template<>
struct enum_names<group_rule>
{
    static constexpr std::array<std::pair<std::string_view, group_rule>, 2> names {
        {{"rack", group_rule::Rack}, {"data_centre", group_rule::DataCentre}}};
};

template<>
struct document_table<resources>
{
    static constexpr std::string_view title = "Resources";
    static constexpr std::string_view doc = "An amount of each resource.";
    static constexpr auto fields = std::make_tuple(
        optional("processors", &resources::milliCores,
                 {.unit = value_unit::Cores, .highest = 1'000'000'000},
                 "Cores; three decimals count."),
        optional("memory", &resources::memoryMib, {.unit = value_unit::Memory}, "Main memory."),
        optional("accelerators", &resources::accelerators, range(0, 1'000'000),
                 "Whole accelerators."));
};

template<>
struct document_table<kind_declaration>
{
    static constexpr std::string_view title = "Kind of request";
    static constexpr std::string_view doc =
        "A kind of request of a service; sizes are learned per kind.";
    static constexpr auto fields = std::make_tuple(
        required("name", &kind_declaration::name, nameRule, "As callers name it."),
        optional("class", &kind_declaration::workClass, anyValue,
                 "Quick work never waits behind long work."),
        optional("idempotent", &kind_declaration::idempotent, anyValue,
                 "Whether a request may be sent to a second worker; else the service's."),
        optional("deadline", &kind_declaration::deadline, deadlineRule,
                 "For requests that bring none; else the service's."),
        optional("expected", &kind_declaration::expectedDuration, deadlineRule,
                 "A hint how long such a request runs, until that has been learned."));
};

template<>
struct document_table<service_declaration>
{
    static constexpr std::string_view title = "Service";
    static constexpr std::string_view doc = "Requests that workers answer.";
    static constexpr auto fields = std::make_tuple(
        required("name", &service_declaration::name, nameRule, "As callers name it."),
        optional("kinds", &service_declaration::kinds, range(0, 1000),
                 "Kinds of request that differ in class, deadline or size."),
        optional("slots_per_worker", &service_declaration::slotsPerWorker, range(1, 10'000),
                 "Requests that a worker runs at once, over all instances together."),
        optional("connections_per_worker", &service_declaration::connectionsPerWorker,
                 range(1, 10'000),
                 "Connections to a worker over all instances together; at least the slots."),
        optional("queue_limit", &service_declaration::queueLimit, range(1, 1'000'000),
                 "Requests that may wait in a group for each class of work; more are refused."),
        optional("deadline", &service_declaration::deadline, deadlineRule,
                 "For requests that bring none of their own."),
        optional("idempotent", &service_declaration::idempotent, anyValue,
                 "Whether requests that do not say may be sent to a second worker."));
};

template<>
struct document_table<team_declaration>
{
    static constexpr std::string_view title = "Team";
    static constexpr std::string_view doc = "Who shares the cell, and how much of it is theirs.";
    static constexpr auto fields = std::make_tuple(
        required("name", &team_declaration::name, nameRule, "As jobs name it."),
        required("quota", &team_declaration::quota, anyValue,
                 "What the team holds by right; idle quota is lent."),
        optional("submitters", &team_declaration::submitters, nameRule,
                 "Principals of the settings that may submit and cancel for the team."));
};

template<>
struct document_table<job_declaration>
{
    static constexpr std::string_view title = "Job";
    static constexpr std::string_view doc = "Tasks that workers run.";
    static constexpr auto fields = std::make_tuple(
        required("name", &job_declaration::name, nameRule, "Unique in the cell."),
        required("kind", &job_declaration::kind, anyValue,
                 "service: runs until cancelled; batch: tasks start one by one; all_or_nothing: "
                 "tasks start together within one group or not at all."),
        required("team", &job_declaration::team, nameRule, "Whose quota it uses."),
        optional("command", &job_declaration::command, anyValue, "What a worker is told to run."),
        optional("tasks", &job_declaration::tasks, range(1, 100'000), "How many alike tasks."),
        required("each", &job_declaration::perTask, anyValue, "What each task takes."),
        optional("checkpointable", &job_declaration::checkpointable, anyValue,
                 "Whether a task can be stopped with a checkpoint and go on later."),
        optional("urgent", &job_declaration::urgent, anyValue,
                 "Goes before other work of its team and may displace checkpointable work."),
        optional("start_by", &job_declaration::startBy, anyValue,
                 "Given up when what it needs has not started by then."),
        optional("spread", &job_declaration::spread, anyValue,
                 "workers: no two of its tasks on one worker."));
};

template<>
struct document_table<worker_class_declaration>
{
    static constexpr std::string_view title = "Worker class";
    static constexpr std::string_view doc =
        "Workers of one shape. Declared so that quotas and jobs which can never fit are refused; "
        "what runs follows the workers that the platform lists.";
    static constexpr auto fields = std::make_tuple(
        required("name", &worker_class_declaration::name, nameRule, "Unique in the set."),
        required("workers", &worker_class_declaration::workers, range(1, 100'000),
                 "How many there are in the cell."),
        optional("workers_per_rack", &worker_class_declaration::workersPerRack, range(1, 1000),
                 "How many stand in one rack."),
        required("each", &worker_class_declaration::perWorker, anyValue, "What each holds."));
};

template<>
struct document_table<configuration>
{
    static constexpr std::string_view title = "File of a configuration set";
    static constexpr std::string_view doc =
        "Every file FOLDER/*.json may hold any of these keys; together they are one set.";
    static constexpr auto fields = std::make_tuple(
        optional("services", &configuration::services, range(0, 10'000), "Services."),
        optional("teams", &configuration::teams, range(0, 10'000), "Teams."),
        optional("jobs", &configuration::jobs, range(0, 100'000), "Jobs that always exist."),
        optional("worker_classes", &configuration::workerClasses, range(0, 1000),
                 "Shapes of workers."),
        optional("groups", &configuration::groups, anyValue,
                 "Which workers form a group, the unit of ownership; in one file only."));
};

} // namespace plantaingap::operators

#endif
