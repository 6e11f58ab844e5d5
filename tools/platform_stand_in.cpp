// The stand-in for the platform as a program; platform_stand_in.h says what it does.

#include "platform_stand_in.h"

#include "support/http_client.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace plantaingap {

namespace {

int run(const std::string &listen, const std::string &listFile)
{
    asio::io_context context(1);
    platform_stand_in stand(context);
    if (!listFile.empty()) {
        std::ifstream file(listFile);
        const std::string text {std::istreambuf_iterator<char>(file), {}};
        boost::system::error_code error;
        const auto document = json::parse(text, error);
        auto list = platform::listFromJson(document);
        if (error || list.has_error()) {
            std::cerr << "event=list.malformed file=" << listFile << '\n';
            return 2;
        }
        stand.setList(std::move(*list));
    }
    const auto endpoint = support::parseEndpoint(listen);
    if (endpoint.has_error()) {
        std::cerr << "event=listen.malformed address=" << listen << '\n';
        return 2;
    }
    support::http_server server(context, {}, [&stand](http_request request, http_peer) {
        return stand.handle(std::move(request));
    });
    if (const auto error = server.listen(*endpoint)) {
        std::cerr << "event=listen.failed reason=\"" << error.message() << "\"\n";
        return 1;
    }
    std::cout << "event=ready address=127.0.0.1:" << server.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

} // namespace plantaingap

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description allowed("platform-stand-in: the platform's services, in memory");
    allowed.add_options()("help", "this text")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT")(
        "list", options::value<std::string>()->default_value(""), "JSON file with the list");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, allowed), given);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (given.count("help") > 0) {
        std::cout << allowed << '\n';
        return 0;
    }
    return plantaingap::run(given["listen"].as<std::string>(), given["list"].as<std::string>());
}
