#ifndef PLANTAINGAP_OPERATOR_SETTINGS_TABLES_H
#define PLANTAINGAP_OPERATOR_SETTINGS_TABLES_H

#include "operator/cell_settings.h"
#include "operator/document_table.h"
#include "operator/settings.h"

// The keys of an instance's settings file.
namespace plantaingap::operators {

template<>
struct enum_names<support::log_level>
{
    static constexpr std::array<std::pair<std::string_view, support::log_level>, 4> names {
        {{"debug", support::log_level::Debug},
         {"info", support::log_level::Info},
         {"warning", support::log_level::Warning},
         {"error", support::log_level::Error}}};
};

template<>
struct enum_names<support::peer_certificates>
{
    static constexpr std::array<std::pair<std::string_view, support::peer_certificates>, 2> names {
        {{"required", support::peer_certificates::Required},
         {"not_asked", support::peer_certificates::NotAsked}}};
};

template<>
struct enum_names<principal_role>
{
    static constexpr std::array<std::pair<std::string_view, principal_role>, 2> names {
        {{"operator", principal_role::Operator}, {"submitter", principal_role::Submitter}}};
};

template<>
struct document_table<support::tls_files>
{
    static constexpr std::string_view title = "TLS identity";
    static constexpr std::string_view doc = "Names of PEM files.";
    static constexpr auto fields = std::make_tuple(
        required("certificate", &support::tls_files::certificate, filledRule,
                 "The certificate shown, with its chain."),
        required("key", &support::tls_files::key, filledRule, "Its private key."),
        required("authorities", &support::tls_files::authorities, filledRule,
                 "Authorities whose certificates are accepted from the other side."));
};

template<>
struct document_table<link_security>
{
    static constexpr std::string_view title = "TLS";
    static constexpr std::string_view doc = "A link without an identity speaks plain TCP.";
    static constexpr auto fields = std::make_tuple(
        optional("callers", &link_security::callers, anyValue, "Callers' listener."),
        optional("caller_certificates", &link_security::callerCertificates, anyValue,
                 "Whether callers must show a certificate."),
        optional("administration", &link_security::administration, anyValue,
                 "Administration listener."),
        optional("administration_certificates", &link_security::administrationCertificates,
                 anyValue, "Whether operators' programs must show a certificate."),
        optional("peers", &link_security::peers, anyValue,
                 "Between instances; both sides show a certificate."),
        optional("platform", &link_security::platform, anyValue, "Towards the platform."));
};

template<>
struct document_table<principal_settings>
{
    static constexpr std::string_view title = "Principal";
    static constexpr std::string_view doc = "Who may use the administration API.";
    static constexpr auto fields = std::make_tuple(
        required("name", &principal_settings::name, nameRule, "As the audit trail names it."),
        required(
            "role", &principal_settings::role, anyValue,
            "operator: applies configurations; submitter: submits for the teams that list it."),
        required("token_file", &principal_settings::tokenFile, filledRule,
                 "File that holds the bearer token alone, at least 16 characters."));
};

template<>
struct document_table<peer_settings>
{
    static constexpr std::string_view title = "Peer";
    static constexpr std::string_view doc = "Another instance of the cell.";
    static constexpr auto fields = std::make_tuple(
        required("name", &peer_settings::name, nameRule, "The key 'instance' of its settings."),
        required("address", &peer_settings::address, anyValue, "Its peer_listen."));
};

template<>
struct document_table<instance_limits>
{
    static constexpr std::string_view title = "Limits";
    static constexpr std::string_view doc = "What the instance takes at most.";
    static constexpr auto fields = std::make_tuple(
        optional("caller_threads", &instance_limits::callerThreads, range(1, 64),
                 "Threads that talk to callers."),
        optional("caller_connections", &instance_limits::callerConnections, range(1, 1'000'000),
                 "Open connections of callers; more are closed at once."),
        optional("ring_messages", &instance_limits::ringMessages, range(16, 1'048'576),
                 "Messages that a ring between two duties holds."),
        optional("queued_requests", &instance_limits::queuedRequests, range(1, 10'000'000),
                 "Requests that wait in the instance, over all services."),
        optional("request_body_kib", &instance_limits::requestBodyKib, range(1, 1'048'576),
                 "Largest body of a request, KiB."),
        optional("whole_answer_kib", &instance_limits::wholeAnswerKib, range(1, 1'048'576),
                 "Answers up to this size are taken whole before they are passed on, KiB."));
};

template<>
struct document_table<instance_settings>
{
    static constexpr std::string_view title = "Settings of an instance";
    static constexpr std::string_view doc =
        "The file given to plantaingapd. Addresses are IP numbers with a port; relative names of "
        "files are relative to the settings file.";
    static constexpr auto fields = std::make_tuple(
        required("instance", &instance_settings::instance, nameRule, "Unique in the cell."),
        required("region", &instance_settings::region, nameRule, "Where the instance runs."),
        required("data_centre", &instance_settings::dataCentre, nameRule,
                 "Where in the region it runs."),
        required("caller_listen", &instance_settings::callerListen, anyValue, "For callers."),
        required("admin_listen", &instance_settings::adminListen, anyValue,
                 "For the administration API and metrics."),
        required("peer_listen", &instance_settings::peerListen, anyValue, "For other instances."),
        optional("peers", &instance_settings::peers, range(0, 10'000),
                 "The other instances of the cell; this one may be among them."),
        required("platform", &instance_settings::platform, anyValue,
                 "The platform's table, object store and lists."),
        optional("tls", &instance_settings::tls, anyValue, "Which links are encrypted."),
        optional("principals", &instance_settings::principals, range(0, 10'000),
                 "Who may use the administration API; with none, nobody may."),
        optional("limits", &instance_settings::limits, anyValue,
                 "What the instance takes at most."),
        optional("stop_deadline", &instance_settings::stopDeadline, range(100, 3'600'000),
                 "From the signal to stop until what still runs is given up."),
        optional("log_level", &instance_settings::logLevel, anyValue, "The lowest level told."));
};

template<>
struct document_table<cell_settings>
{
    static constexpr std::string_view title = "Settings of an instance on the platform";
    static constexpr std::string_view doc =
        "The file given to plantaingap-cell; deploy/instance.json.in is the template that the "
        "platform "
        "fills in. Addresses are IP numbers with a port.";
    static constexpr auto fields = std::make_tuple(
        required("instance", &cell_settings::instance, nameRule, "Unique in the cell."),
        required("region", &cell_settings::region, nameRule, "Where the instance runs."),
        required("data_centre", &cell_settings::dataCentre, nameRule,
                 "Where in the region it runs."),
        required("caller_listen", &cell_settings::callerListen, anyValue, "For callers."),
        required("ready_listen", &cell_settings::readyListen, anyValue,
                 "For the balancer's question and for metrics."),
        required("peer_listen", &cell_settings::peerListen, anyValue, "For other instances."),
        required("store", &cell_settings::store, anyValue, "The platform's table service."),
        optional("advisor", &cell_settings::advisor, anyValue, "The placement advisor."),
        optional("caller_connections", &cell_settings::callerConnections, range(1, 1'000'000),
                 "Open connections of callers; more are closed at once."),
        optional("worker_connections", &cell_settings::workerConnections, range(1, 1'000'000),
                 "Open connections to workers; beyond them one worker gets one more for orders."),
        optional("cores", &cell_settings::milliCores,
                 value_rule {.unit = value_unit::Cores, .lowest = 1},
                 "Processors of the instance; small ones leave leading to others."),
        optional("link_mbps", &cell_settings::linkKbps,
                 value_rule {.unit = value_unit::Megabits, .lowest = 0},
                 "Bandwidth of the instance's own link; 0 when unknown."),
        optional("longest_lease", &cell_settings::longestLease, range(500, 3'600'000),
                 "The longest lease that a worker takes."),
        optional("longest_stop", &cell_settings::longestStop, range(0, 3'600'000),
                 "The longest time that a worker takes to stop a run."),
        optional("stop_grace", &cell_settings::stopGrace, range(500, 3'600'000),
                 "From the signal to stop until the process is ended by force."),
        optional("key_revocation", &cell_settings::keyRevocation, range(0, 3'600'000),
                 "How long a key may be used after a configuration without it was stored; 0: as "
                 "long as no such configuration has been read."),
        optional(
            "separate_interfering", &cell_settings::separateInterfering, anyValue,
            "Keep kinds of tasks that slow each other down on different workers where there is "
            "room."),
        optional("log_level", &cell_settings::logLevel, anyValue, "The lowest level told."));
};

} // namespace plantaingap::operators

#endif
