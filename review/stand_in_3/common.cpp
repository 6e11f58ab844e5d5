#include "common.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

int recordFile = -1;
constexpr std::size_t maxBody = 8 << 20;

void setTimeout(int socket, std::int64_t timeoutMs)
{
    const timeval limit {timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

void serveConnection(tcp::socket socket, const std::function<response(request &)> &handler)
{
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    socket.set_option(tcp::no_delay(true), error);
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBody);
        http::read(socket, buffer, parser, error);
        if (error)
            return;
        auto received = parser.release();
        const bool keep = received.keep_alive();
        auto answered = handler(received);
        answered.keep_alive(keep);
        answered.prepare_payload();
        http::write(socket, answered, error);
        if (error || !keep)
            return;
    }
}

} // namespace

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

void openRecord(const std::string &file)
{
    recordFile = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

void record(const std::string &text)
{
    const auto now = wallMs();
    const auto line = std::to_string(now / 1000) + "." + std::to_string(1000 + now % 1000).substr(1)
                      + " " + text + "\n";
    if (recordFile >= 0 && write(recordFile, line.data(), line.size()) < 0)
        std::cerr << "cannot write the record\n";
}

response reply(unsigned status, const boost::json::value &body)
{
    response made(static_cast<http::status>(status), 11);
    made.set(http::field::content_type, "application/json");
    made.body() = boost::json::serialize(body);
    return made;
}

response reply(unsigned status)
{
    return response(static_cast<http::status>(status), 11);
}

void serve(std::uint16_t port, std::function<response(request &)> handler, int maxConnections)
{
    asio::io_context context;
    tcp::acceptor acceptor(context);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    std::atomic<int> connections = 0;
    while (true) {
        boost::system::error_code error;
        auto socket = acceptor.accept(error);
        if (error)
            continue;
        if (maxConnections > 0 && connections >= maxConnections) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            continue;
        }
        ++connections;
        std::thread([socket = std::move(socket), &handler, &connections]() mutable {
            serveConnection(std::move(socket), handler);
            --connections;
        }).detach();
    }
}

std::optional<answer> call(std::uint16_t port, std::string_view method, const std::string &target,
                           const std::string &body, std::int64_t timeoutMs,
                           const std::map<std::string, std::string> &headers)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.open(tcp::v4(), error);
    setTimeout(socket.native_handle(), timeoutMs);
    socket.connect({asio::ip::address_v4::loopback(), port}, error);
    if (error)
        return std::nullopt;
    request sent(http::string_to_verb(method), target, 11);
    sent.set(http::field::host, "127.0.0.1:" + std::to_string(port));
    for (const auto &[name, value] : headers)
        sent.set(name, value);
    if (!body.empty())
        sent.set(http::field::content_type, "application/json");
    sent.body() = body;
    sent.prepare_payload();
    sent.keep_alive(false);
    http::write(socket, sent, error);
    if (error)
        return std::nullopt;
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBody);
    http::read(socket, buffer, parser, error);
    if (error)
        return std::nullopt;
    return answer {parser.get().result_int(), parser.get().body()};
}

std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> found;
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        const auto begin = at + 1;
        at = target.find('&', begin);
        const auto part = target.substr(begin, at == std::string_view::npos ? std::string_view::npos
                                                                            : at - begin);
        const auto equals = part.find('=');
        std::string value;
        for (std::size_t i = equals + 1; equals != std::string_view::npos && i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value.push_back(
                    static_cast<char>(std::stoi(std::string(part.substr(i + 1, 2)), nullptr, 16)));
                i += 2;
            } else {
                value.push_back(part[i]);
            }
        }
        found[std::string(part.substr(0, equals))] = value;
    }
    return found;
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string toBase64(std::string_view bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string fromBase64(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

// Below the ports that the system hands out, and in a part that depends on the process, so that
// cases that run side by side do not take the same.
std::uint16_t freePort()
{
    constexpr int firstPort = 10'000;
    constexpr int parts = 200;
    constexpr int portsOfPart = 100;
    static int next = firstPort + getpid() * 37 % parts * portsOfPart;
    while (true) {
        const auto port = static_cast<std::uint16_t>(next);
        next = next + 1 < firstPort + parts * portsOfPart ? next + 1 : firstPort;
        asio::io_context context;
        tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
        if (!error)
            return port;
    }
}

child_processes::~child_processes()
{
    while (!m_processes.empty())
        kill(m_processes.back());
}

int child_processes::start(const std::vector<std::string> &command, const std::string &logFile,
                           const std::map<std::string, std::string> &environment)
{
    const int process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        for (const auto &[name, value] : environment)
            setenv(name.c_str(), value.c_str(), 1);
        std::vector<char *> arguments;
        for (const auto &word : command)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    m_processes.push_back(process);
    return process;
}

void child_processes::signal(int process, int number)
{
    ::kill(process, number);
}

void child_processes::kill(int process)
{
    ::kill(process, SIGKILL);
    int status = 0;
    waitpid(process, &status, 0);
    std::erase(m_processes, process);
}

} // namespace review
