#ifndef PLANTAINGAP_OPERATOR_API_MESSAGES_H
#define PLANTAINGAP_OPERATOR_API_MESSAGES_H

#include "operator/administration.h"
#include "operator/difference_tables.h"

// The messages of the administration API that are not types of the interface behind it, and the
// tables by which all of them are written and read.
namespace plantaingap::operators {

// POST /v1/configuration/apply
struct apply_request
{
    std::uint64_t base = 0;
    configuration_difference difference;
};

struct apply_answer
{
    std::uint64_t version = 0;
    std::string digest;
};

// GET /v1/configuration
struct version_message
{
    std::uint64_t version = 0;
    std::string digest;
    configuration declared;
};

// GET /v1/configuration/difference
struct changes_message
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<declaration_change> changes;
};

// GET /v1/audit
struct audit_message
{
    std::vector<audit_entry> entries;
};

// Every answer that is not 200.
struct refusal_message
{
    // The name of the error, for programs.
    std::string code;
    std::string message;
    findings found;
    // Who won the race, and what changed since the version that the loser was prepared against.
    std::optional<apply_conflict> conflict;
    std::vector<declaration_change> changes;
};

template<>
struct enum_names<change_kind>
{
    static constexpr std::array<std::pair<std::string_view, change_kind>, 3> names {
        {{"added", change_kind::Added},
         {"removed", change_kind::Removed},
         {"changed", change_kind::Changed}}};
};

template<>
struct enum_names<audit_outcome>
{
    static constexpr std::array<std::pair<std::string_view, audit_outcome>, 2> names {
        {{"accepted", audit_outcome::Accepted}, {"refused", audit_outcome::Refused}}};
};

template<>
struct document_table<apply_request>
{
    static constexpr auto fields =
        std::make_tuple(required("base", &apply_request::base, anyValue, ""),
                        required("difference", &apply_request::difference, anyValue, ""));
};

template<>
struct document_table<apply_answer>
{
    static constexpr auto fields =
        std::make_tuple(required("version", &apply_answer::version, anyValue, ""),
                        required("digest", &apply_answer::digest, anyValue, ""));
};

template<>
struct document_table<version_message>
{
    static constexpr auto fields =
        std::make_tuple(required("version", &version_message::version, anyValue, ""),
                        required("digest", &version_message::digest, anyValue, ""),
                        required("configuration", &version_message::declared, anyValue, ""));
};

template<>
struct document_table<declaration_change>
{
    static constexpr auto fields =
        std::make_tuple(required("kind", &declaration_change::kind, anyValue, ""),
                        required("path", &declaration_change::path, anyValue, ""),
                        optional("before", &declaration_change::before, anyValue, ""),
                        optional("after", &declaration_change::after, anyValue, ""));
};

template<>
struct document_table<changes_message>
{
    static constexpr auto fields =
        std::make_tuple(required("from", &changes_message::from, anyValue, ""),
                        required("to", &changes_message::to, anyValue, ""),
                        required("changes", &changes_message::changes, anyValue, ""));
};

template<>
struct document_table<audit_entry>
{
    static constexpr auto fields =
        std::make_tuple(required("who", &audit_entry::who, anyValue, ""),
                        required("when", &audit_entry::when, anyValue, ""),
                        required("change", &audit_entry::change, anyValue, ""),
                        optional("subject", &audit_entry::subject, anyValue, ""),
                        required("from_version", &audit_entry::fromVersion, anyValue, ""),
                        required("to_version", &audit_entry::toVersion, anyValue, ""),
                        optional("digest", &audit_entry::digest, anyValue, ""),
                        required("outcome", &audit_entry::outcome, anyValue, ""),
                        optional("reason", &audit_entry::reason, anyValue, ""));
};

template<>
struct document_table<audit_message>
{
    static constexpr auto fields =
        std::make_tuple(required("entries", &audit_message::entries, anyValue, ""));
};

template<>
struct document_table<apply_conflict>
{
    static constexpr auto fields =
        std::make_tuple(required("version", &apply_conflict::version, anyValue, ""),
                        required("digest", &apply_conflict::digest, anyValue, ""),
                        required("who", &apply_conflict::who, anyValue, ""),
                        required("when", &apply_conflict::when, anyValue, ""));
};

template<>
struct document_table<finding>
{
    static constexpr auto fields =
        std::make_tuple(required("file", &finding::file, anyValue, ""),
                        optional("line", &finding::line, anyValue, ""),
                        optional("path", &finding::path, anyValue, ""),
                        required("message", &finding::message, anyValue, ""));
};

template<>
struct document_table<refusal_message>
{
    static constexpr auto fields =
        std::make_tuple(required("code", &refusal_message::code, anyValue, ""),
                        required("message", &refusal_message::message, anyValue, ""),
                        optional("findings", &refusal_message::found, anyValue, ""),
                        optional("conflict", &refusal_message::conflict, anyValue, ""),
                        optional("changes", &refusal_message::changes, anyValue, ""));
};

template<>
struct document_table<instance_status>
{
    static constexpr auto fields =
        std::make_tuple(required("instance", &instance_status::instance, anyValue, ""),
                        optional("region", &instance_status::region, anyValue, ""),
                        optional("data_centre", &instance_status::dataCentre, anyValue, ""),
                        required("version", &instance_status::version, anyValue, ""),
                        optional("state", &instance_status::state, anyValue, ""),
                        optional("queued", &instance_status::queued, anyValue, ""),
                        optional("running", &instance_status::running, anyValue, ""));
};

template<>
struct document_table<worker_status>
{
    static constexpr auto fields =
        std::make_tuple(required("worker", &worker_status::worker, anyValue, ""),
                        optional("group", &worker_status::group, anyValue, ""),
                        optional("owner", &worker_status::owner, anyValue, ""),
                        optional("state", &worker_status::state, anyValue, ""),
                        optional("slots", &worker_status::slots, anyValue, ""),
                        optional("busy", &worker_status::busy, anyValue, ""),
                        optional("holds", &worker_status::holds, anyValue, ""),
                        optional("committed", &worker_status::committed, anyValue, ""));
};

template<>
struct document_table<queue_status>
{
    static constexpr auto fields =
        std::make_tuple(required("service", &queue_status::service, anyValue, ""),
                        required("class", &queue_status::workClass, anyValue, ""),
                        optional("waiting", &queue_status::waiting, anyValue, ""),
                        optional("running", &queue_status::running, anyValue, ""),
                        optional("refused", &queue_status::refused, anyValue, ""));
};

template<>
struct document_table<team_status>
{
    static constexpr auto fields =
        std::make_tuple(required("team", &team_status::team, anyValue, ""),
                        optional("quota", &team_status::quota, anyValue, ""),
                        optional("used", &team_status::used, anyValue, ""));
};

template<>
struct document_table<job_status>
{
    static constexpr auto fields =
        std::make_tuple(required("job", &job_status::job, anyValue, ""),
                        optional("team", &job_status::team, anyValue, ""),
                        optional("kind", &job_status::kind, anyValue, ""),
                        required("state", &job_status::state, anyValue, ""),
                        optional("tasks", &job_status::tasks, anyValue, ""),
                        optional("running", &job_status::running, anyValue, ""),
                        optional("finished", &job_status::finished, anyValue, ""),
                        optional("failed", &job_status::failed, anyValue, ""));
};

template<>
struct document_table<cell_status>
{
    static constexpr auto fields =
        std::make_tuple(required("version", &cell_status::version, anyValue, ""),
                        required("digest", &cell_status::digest, anyValue, ""),
                        required("instances", &cell_status::instances, anyValue, ""),
                        optional("workers", &cell_status::workers, anyValue, ""),
                        optional("queues", &cell_status::queues, anyValue, ""),
                        optional("teams", &cell_status::teams, anyValue, ""),
                        optional("jobs", &cell_status::jobs, anyValue, ""));
};

template<>
struct document_table<job_explanation>
{
    static constexpr auto fields =
        std::make_tuple(required("job", &job_explanation::job, anyValue, ""),
                        required("state", &job_explanation::state, anyValue, ""),
                        optional("reasons", &job_explanation::reasons, anyValue, ""));
};

} // namespace plantaingap::operators

#endif
