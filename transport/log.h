#pragma once

#include "transport/transport_error.h"

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace persimmon::transport {

/// Least severity that is written.
enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr std::array<EnumName<LogLevel>, 4> LogLevelNames{{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
}};

/// Form of a log line on standard error.
enum class LogFormat { Text, Json };

inline constexpr std::array<EnumName<LogFormat>, 2> LogFormatNames{{
        {LogFormat::Text, "text"},
        {LogFormat::Json, "json"},
}};

/// A named value that belongs to a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Sets up logging to standard error for the whole process.
/// @param level least severity that is written.
/// @param format text lines or one JSON object a line.
/// @param program name of the program, written with each JSON line.
void initLogging(LogLevel level, LogFormat format, const std::string &program);

/// Takes each formatted line instead of standard error.
using LogSink = std::function<void(std::string line)>;

/// Sets where lines go; an empty sink is standard error. Not to be called while others log.
void setLogSink(LogSink sink);

/// Writes one line: prefix of the part, a short sentence, and fields.
void log(LogLevel level, std::string_view part, std::string_view sentence,
         std::span<const LogField> fields = {});

inline void logInfo(std::string_view part, std::string_view sentence,
                    std::initializer_list<LogField> fields = {})
{
    log(LogLevel::Info, part, sentence, std::span(fields.begin(), fields.size()));
}

inline void logWarning(std::string_view part, std::string_view sentence,
                       std::initializer_list<LogField> fields = {})
{
    log(LogLevel::Warning, part, sentence, std::span(fields.begin(), fields.size()));
}

inline void logError(std::string_view part, std::string_view sentence,
                     std::initializer_list<LogField> fields = {})
{
    log(LogLevel::Error, part, sentence, std::span(fields.begin(), fields.size()));
}

} // namespace persimmon::transport
