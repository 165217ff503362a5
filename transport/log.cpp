#include "transport/log.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/scoped_attribute.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace logging = boost::log;

namespace persimmon::transport {

namespace {

std::string timestamp()
{
    const auto now = boost::posix_time::microsec_clock::universal_time();
    return boost::posix_time::to_iso_extended_string(now) + "Z";
}

std::string formatText(LogLevel level, std::string_view component, std::string_view message,
                       std::span<const LogField> fields)
{
    std::string line = timestamp();
    line.append(" ").append(enumName(LogLevelNames, level));
    line.append(" ").append(component).append(": ").append(message);
    for (const auto &field : fields)
        line.append(" ").append(field.name).append("=").append(field.value);
    return line;
}

std::string formatJson(LogLevel level, std::string_view program, std::string_view component,
                       std::string_view message, std::span<const LogField> fields)
{
    boost::json::object line;
    line["time"] = timestamp();
    line["level"] = enumName(LogLevelNames, level);
    line["program"] = program;
    line["part"] = component;
    line["message"] = message;
    for (const auto &field : fields)
        line[field.name] = field.value;
    return boost::json::serialize(line);
}

struct LogState
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    std::string program = "persimmon";
    LogSink sink;
};

LogState &logState()
{
    static LogState instance;
    return instance;
}

} // namespace

void initLogging(LogLevel level, LogFormat format, const std::string &program)
{
    logState() = {level, format, program, {}};
    logging::add_console_log(std::clog,
                             logging::keywords::format = logging::expressions::stream
                                                         << logging::expressions::smessage,
                             logging::keywords::auto_flush = true);
}

void setLogSink(LogSink sink)
{
    logState().sink = std::move(sink);
}

void log(LogLevel level, std::string_view component, std::string_view message,
         std::span<const LogField> fields)
{
    const auto &current = logState();
    if (level < current.level)
        return;
    if (current.sink) {
        current.sink(current.format == LogFormat::Json
                             ? formatJson(level, current.program, component, message, fields)
                             : formatText(level, component, message, fields));
        return;
    }
    using Logger = logging::sources::severity_logger_mt<LogLevel>;
    static Logger logger;
    if (auto record = logger.open_record(logging::keywords::severity = level)) {
        logging::record_ostream stream(record);
        if (current.format == LogFormat::Json)
            stream << formatJson(level, current.program, component, message, fields);
        else
            stream << formatText(level, component, message, fields);
        stream.flush();
        logger.push_record(std::move(record));
    }
}

} // namespace persimmon::transport
