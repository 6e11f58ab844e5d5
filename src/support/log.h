#ifndef PLANTAINGAP_SUPPORT_LOG_H
#define PLANTAINGAP_SUPPORT_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

namespace plantaingap::support {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

enum class log_stream : std::uint8_t { Error, Output };

// Sends log lines to standard error or output, each with its UTC time and level. Called once by a
// main.
void startLogging(log_level lowest, log_stream to = log_stream::Error);

// One line of key=value pairs for one event, written when the object goes out of scope:
//     log_event(log_level::Info, "request.refused").field("request", id).field("code", text);
// A value with blanks, quotes or control characters is quoted and escaped, so that a line stays a
// line. Secrets are never given to a log event.
class log_event
{
public:
    log_event(log_level level, std::string_view name);
    ~log_event();

    log_event(const log_event &) = delete;
    log_event &operator=(const log_event &) = delete;

    log_event &field(std::string_view key, std::string_view value);
    log_event &field(std::string_view key, std::int64_t value);
    log_event &field(std::string_view key, std::uint64_t value);
    log_event &field(std::string_view key, int value)
    {
        return field(key, static_cast<std::int64_t>(value));
    }
    log_event &field(std::string_view key, unsigned value)
    {
        return field(key, static_cast<std::uint64_t>(value));
    }

private:
    log_level m_level;
    bool m_enabled;
    std::string m_line;
};

} // namespace plantaingap::support

#endif
