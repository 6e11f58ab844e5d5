#include "runtime/instance.h"
#include "support/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

// An entry instance: plantaingapd SETTINGS.json. When it is ready it says so in one line on
// standard output, with the addresses that it bound. docs/STOPPING.md tells how it stops.
namespace {

constexpr int usageExit = 2;
// The planned stop reached its deadline with work left.
constexpr int cutShortExit = 3;

// One line for each finding: FILE:LINE PATH message.
void tell(const plantaingap::findings &found)
{
    for (const auto &one : found) {
        std::cerr << one.file << ':' << one.line << ' ' << one.path << ' ' << one.message << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    using namespace plantaingap;
    if (argc != 2) {
        std::cerr << "usage: plantaingapd SETTINGS.json\n";
        return usageExit;
    }
    auto settings = operators::loadSettings(argv[1]);
    if (settings.has_error()) {
        tell(settings.error());
        return usageExit;
    }
    support::startLogging(settings->logLevel);
    auto security = runtime::loadSecurity(*settings);
    if (security.has_error()) {
        tell(security.error());
        return usageExit;
    }
    runtime::instance instance(std::move(*settings), std::move(*security));
    if (const auto error = instance.start()) {
        std::cerr << "cannot listen: " << error.message() << "\n";
        return 1;
    }
    std::cout << "event=ready callers=" << instance.addresses().callers
              << " peers=" << instance.addresses().peers
              << " administration=" << instance.addresses().administration << std::endl;
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    // After the first signal the default action is back: a second one ends the process at once.
    signals.async_wait([&](const auto &, int) { signals.clear(); });
    context.run();
    return instance.stop() ? 0 : cutShortExit;
}
