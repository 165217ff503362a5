#pragma once

#include "transport/transport_error.h"

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace persimmon::transport {

/// Severity of a log message, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr std::array<EnumName<LogLevel>, 4> LogLevelNames{{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
}};

/// Format of a log line.
enum class LogFormat { Text, Json };

inline constexpr std::array<EnumName<LogFormat>, 2> LogFormatNames{{
        {LogFormat::Text, "text"},
        {LogFormat::Json, "json"},
}};

/// Named value attached to a log message.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Initializes logging to standard error for the whole process.
/// @param level minimum severity of the messages that are written.
/// @param format text lines or one JSON object per line.
/// @param program name of the program, included in each JSON line.
void initLogging(LogLevel level, LogFormat format, const std::string &program);

/// Receives each formatted line, without its newline, instead of standard error.
using LogSink = std::function<void(std::string line)>;

/// Sets the destination of log lines; an empty sink selects standard error. Not thread-safe: must
/// not be called while other threads log.
void setLogSink(LogSink sink);

/// Writes one log line.
/// @param component name of the part of the program that logs, such as "http".
/// @param message short sentence.
/// @param fields named values, written after the message.
void log(LogLevel level, std::string_view component, std::string_view message,
         std::span<const LogField> fields = {});

inline void logInfo(std::string_view component, std::string_view message,
                    std::initializer_list<LogField> fields = {})
{
    log(LogLevel::Info, component, message, std::span(fields.begin(), fields.size()));
}

inline void logWarning(std::string_view component, std::string_view message,
                       std::initializer_list<LogField> fields = {})
{
    log(LogLevel::Warning, component, message, std::span(fields.begin(), fields.size()));
}

inline void logError(std::string_view component, std::string_view message,
                     std::initializer_list<LogField> fields = {})
{
    log(LogLevel::Error, component, message, std::span(fields.begin(), fields.size()));
}

} // namespace persimmon::transport
