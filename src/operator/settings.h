#ifndef PLANTAINGAP_OPERATOR_SETTINGS_H
#define PLANTAINGAP_OPERATOR_SETTINGS_H

#include "support/json_document.h"
#include "support/log.h"
#include "support/tls.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <plantaingap/result.h>
#include <string>
#include <vector>

// The settings of one entry instance: who it is, where it listens, whom it talks to, and what it
// may take. Read once at the start; everything that operators change later is in configuration.h.
namespace plantaingap::operators {

// Which links are encrypted, and with what; a link without files speaks plain TCP.
struct link_security
{
    std::optional<support::tls_files> callers;
    support::peer_certificates callerCertificates = support::peer_certificates::NotAsked;
    std::optional<support::tls_files> administration;
    support::peer_certificates administrationCertificates = support::peer_certificates::NotAsked;
    // Between instances certificates are always asked of both sides.
    std::optional<support::tls_files> peers;
    std::optional<support::tls_files> platform;

    bool operator==(const link_security &) const = default;
};

enum class principal_role : std::uint8_t {
    // May read everything and apply configurations.
    Operator,
    // May read, and submit and cancel for the teams that list it.
    Submitter,
};

// Who may use the administration API. The token stands alone in a file.
struct principal_settings
{
    std::string name;
    principal_role role = principal_role::Submitter;
    std::string tokenFile;

    bool operator==(const principal_settings &) const = default;
};

// Another instance: its name, as its own settings have it, and its peer_listen.
struct peer_settings
{
    std::string name;
    boost::asio::ip::tcp::endpoint address;

    bool operator==(const peer_settings &) const = default;
};

struct instance_limits
{
    std::uint32_t callerThreads = 1;
    std::uint32_t callerConnections = 4096;
    // Messages that a ring between two duties holds.
    std::uint32_t ringMessages = 4096;
    // Requests that wait in this instance, over all services.
    std::uint32_t queuedRequests = 16'384;
    std::uint32_t requestBodyKib = 8192;
    // Answers up to this size are taken whole before the caller sees the first byte.
    std::uint32_t wholeAnswerKib = 1024;

    bool operator==(const instance_limits &) const = default;
};

struct instance_settings
{
    std::string instance;
    std::string region;
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint callerListen;
    boost::asio::ip::tcp::endpoint adminListen;
    boost::asio::ip::tcp::endpoint peerListen;
    // The other instances of the cell.
    std::vector<peer_settings> peers;
    boost::asio::ip::tcp::endpoint platform;
    link_security tls;
    std::vector<principal_settings> principals;
    instance_limits limits;
    // From the signal to stop until what still runs is given up.
    std::chrono::milliseconds stopDeadline {30'000};
    support::log_level logLevel = support::log_level::Info;

    bool operator==(const instance_settings &) const = default;
};

// The settings, or everything that is wrong with them.
using settings_outcome = boost::system::result<instance_settings, findings>;
settings_outcome parseSettings(const std::string &file, std::string_view text);
settings_outcome loadSettings(const std::string &file);

} // namespace plantaingap::operators

#endif
