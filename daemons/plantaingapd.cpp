#include "runtime/instance.h"
#include "support/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

// An entry instance: plantaingapd SETTINGS.json. When it is ready it says so in one line on
// standard output, with the addresses that it bound. docs/STOPPING.md tells how it stops.
namespace {

constexpr int usageExit = 2;

std::string readFile(const char *path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace plantaingap;
    if (argc != 2) {
        std::cerr << "usage: plantaingapd SETTINGS.json\n";
        return usageExit;
    }
    support::startLogging(support::log_level::Info);
    auto settings = runtime::readInstanceSettings(readFile(argv[1]));
    if (settings.has_error()) {
        std::cerr << argv[1] << ": " << settings.error().message() << "\n";
        return usageExit;
    }
    runtime::instance instance(std::move(*settings));
    if (const auto error = instance.start()) {
        std::cerr << "cannot listen: " << error.message() << "\n";
        return 1;
    }
    std::cout << "ready callers=" << instance.callerAddress() << std::endl;
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const auto &, int) {});
    context.run();
    return 0;
}
