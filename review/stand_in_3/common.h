#ifndef PLANTAINGAP_REVIEW_STAND_IN_3_COMMON_H
#define PLANTAINGAP_REVIEW_STAND_IN_3_COMMON_H

#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What the stand-ins of this review share: HTTP, the record of a run, child processes and ports.
namespace review {

using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

// Milliseconds of the steady clock, and since 1970.
std::int64_t steadyMs();
std::int64_t wallMs();
void sleepMs(std::int64_t time);

// Adds a line to the record, which several processes may share. Without a file nothing is written.
void openRecord(const std::string &file);
void record(const std::string &text);

response reply(unsigned status, const boost::json::value &body);
response reply(unsigned status);

// Serves connections in threads of their own, until the process ends. Those beyond maxConnections
// are reset; 0 for no limit.
void serve(std::uint16_t port, std::function<response(request &)> handler, int maxConnections = 0);

// One call over a connection of its own; nullopt without an answer within the timeout.
struct answer
{
    unsigned status = 0;
    std::string body;
};
std::optional<answer> call(std::uint16_t port, std::string_view method, const std::string &target,
                           const std::string &body, std::int64_t timeoutMs,
                           const std::map<std::string, std::string> &headers = {});

std::map<std::string, std::string> queryOf(std::string_view target);
std::string pathOf(std::string_view target);
std::string toBase64(std::string_view bytes);
std::string fromBase64(std::string_view text);

// A port of the loopback address that nobody listens on.
std::uint16_t freePort();

// Processes that this one has started. All are killed at its end.
class child_processes
{
public:
    ~child_processes();
    int start(const std::vector<std::string> &command, const std::string &logFile,
              const std::map<std::string, std::string> &environment = {});
    void signal(int process, int number);
    // Kills the process and waits for its end.
    void kill(int process);

private:
    std::vector<int> m_processes;
};

} // namespace review

#endif
