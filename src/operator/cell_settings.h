#ifndef PLANTAINGAP_OPERATOR_CELL_SETTINGS_H
#define PLANTAINGAP_OPERATOR_CELL_SETTINGS_H

#include "support/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/result.hpp>
#include <chrono>
#include <cstdint>
#include <plantaingap/result.h>
#include <string>

// The settings of an instance that runs on the platform.
namespace plantaingap::operators {

struct cell_settings
{
    std::string instance;
    std::string region;
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint callerListen;
    boost::asio::ip::tcp::endpoint readyListen;
    boost::asio::ip::tcp::endpoint peerListen;
    boost::asio::ip::tcp::endpoint store;
    // Port 0 when no queue needs an advisor.
    boost::asio::ip::tcp::endpoint advisor;
    std::uint32_t callerConnections = 2048;
    std::uint32_t workerConnections = 2400;
    // Processors that the instance has, in thousandths of a core.
    std::int64_t milliCores = 1000;
    // Kilobits a second of the instance's own link; 0 when unknown.
    std::int64_t linkKbps = 0;
    // The longest lease that a worker takes.
    std::chrono::milliseconds longestLease {10'000};
    // The longest time that a worker takes to stop a run.
    std::chrono::milliseconds longestStop {900};
    // From the signal to stop until the process is ended by force.
    std::chrono::milliseconds stopGrace {6'000};
    // How long a key may be used after a configuration without it was stored; 0: as long as no such
    // configuration has been read.
    std::chrono::milliseconds keyRevocation {0};
    // Keep kinds of tasks that slow each other down on different workers where there is room.
    bool separateInterfering = false;
    support::log_level logLevel = support::log_level::Info;
};

using cell_settings_outcome = boost::system::result<cell_settings, findings>;
cell_settings_outcome parseCellSettings(const std::string &file, std::string_view text);
cell_settings_outcome loadCellSettings(const std::string &file);

} // namespace plantaingap::operators

#endif
