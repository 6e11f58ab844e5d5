#include "cell/cell_instance.h"
#include "operator/cell_settings.h"
#include "platform/gateways.h"
#include "platform/json_codec.h"
#include "support/http_client.h"
#include "support/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

// An instance on the platform: plantaingap-cell SETTINGS.json. SIGTERM stops it in order, SIGHUP
// reads the settings again.
namespace {

using namespace plantaingap;

constexpr int usageExit = 2;

// Kept back from the grace of a planned stop for the end of the process itself.
constexpr std::chrono::milliseconds stopReserve {1200};

// An instance with fewer processors than this leads only when no larger one does; a leader of 350
// workers takes 0.28 of a core.
constexpr std::int64_t leadingMilliCores = 200;
constexpr std::chrono::milliseconds smallInstanceDelay {400};

void tell(const findings &found)
{
    for (const auto &one : found)
        std::cerr << one.file << ':' << one.line << ' ' << one.path << ' ' << one.message << '\n';
}

cell::instance_options optionsFrom(const operators::cell_settings &settings)
{
    cell::instance_options options;
    options.instance = settings.instance;
    options.callerListen = settings.callerListen;
    options.readyListen = settings.readyListen;
    options.peerListen = support::formatEndpoint(settings.peerListen);
    options.maxCallerConnections = settings.callerConnections;
    options.stopDeadline = settings.stopGrace - stopReserve;
    options.stopAcceptDelay = std::min(options.stopAcceptDelay, options.stopDeadline / 2);
    options.leader.instance = settings.instance;
    options.leader.keyRevocation = settings.keyRevocation;
    options.capacity = {settings.milliCores, settings.linkKbps};
    if (settings.milliCores < leadingMilliCores)
        options.takeoverDelay = smallInstanceDelay;
    auto &scheduler = options.leader.scheduler;
    scheduler.lease = std::min(scheduler.lease, settings.longestLease);
    scheduler.maxStopTime = settings.longestStop;
    scheduler.keepInterferingApart = settings.separateInterfering;
    return options;
}

// Settings name addresses and limits that are bound at the start; a change is told, and taken up
// when the process is next started.
void reload(const std::string &file)
{
    const auto settings = operators::loadCellSettings(file);
    if (settings.has_error()) {
        tell(settings.error());
        support::log_event(support::log_level::Error, "settings.refused").field("file", file);
        return;
    }
    support::log_event(support::log_level::Info, "settings.read").field("file", file);
}

void awaitReload(boost::asio::signal_set &signals, const std::string &file)
{
    signals.async_wait([&signals, file](const auto &error, int) {
        if (error)
            return;
        reload(file);
        awaitReload(signals, file);
    });
}

int run(const std::string &file)
{
    const auto settings = operators::loadCellSettings(file);
    if (settings.has_error()) {
        tell(settings.error());
        return usageExit;
    }
    support::startLogging(settings->logLevel, support::log_stream::Output);
    boost::asio::io_context context(1);
    adapter::store_gateway store(context, settings->store);
    adapter::orders_gateway workers(context, settings->workerConnections);
    adapter::advisor_gateway advisor(context, settings->advisor);
    adapter::json_codec codec;
    cell::cell_instance instance(context, optionsFrom(*settings), store, workers, advisor, codec,
                                 adapter::platformTables());
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    if (const auto error = instance.start()) {
        std::cerr << "cannot listen: " << error.message() << '\n';
        return 1;
    }
    support::log_event(support::log_level::Info, "instance.started")
        .field("instance", settings->instance)
        .field("data_centre", settings->dataCentre);
    awaitReload(reloadSignals, file);
    stopSignals.async_wait([&](const auto &error, int) {
        if (!error)
            instance.stop([] { std::quick_exit(0); });
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: plantaingap-cell SETTINGS.json\n";
        return usageExit;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return run(argv[1]);
}
