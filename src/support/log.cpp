#include "support/log.h"

#include <algorithm>
#include <iomanip>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <sstream>

namespace plantaingap::support {

namespace {

log4cplus::LogLevel libraryLevel(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger root = log4cplus::Logger::getRoot();
    return root;
}

bool isPlain(char character)
{
    return character > ' ' && character < 0x7f && character != '"' && character != '='
           && character != '\\';
}

} // namespace

void startLogging(log_level lowest, log_stream to)
{
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to == log_stream::Error, true));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(libraryLevel(lowest));
}

log_event::log_event(log_level level, std::string_view name)
    : m_level(level)
    , m_enabled(logger().isEnabledFor(libraryLevel(level)))
{
    if (m_enabled)
        m_line.append("event=").append(name);
}

log_event::~log_event()
{
    if (m_enabled)
        logger().log(libraryLevel(m_level), m_line);
}

log_event &log_event::field(std::string_view key, std::string_view value)
{
    if (!m_enabled)
        return *this;
    m_line.append(" ").append(key).append("=");
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        m_line.append(value);
        return *this;
    }
    std::string flat(value);
    std::replace_if(
        flat.begin(), flat.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, ' ');
    std::ostringstream quoted;
    quoted << std::quoted(flat);
    m_line.append(quoted.str());
    return *this;
}

log_event &log_event::field(std::string_view key, std::int64_t value)
{
    return field(key, std::string_view(std::to_string(value)));
}

log_event &log_event::field(std::string_view key, std::uint64_t value)
{
    return field(key, std::string_view(std::to_string(value)));
}

} // namespace plantaingap::support
