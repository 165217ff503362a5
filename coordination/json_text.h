#pragma once

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <memory>
#include <string>

namespace persimmon::coordination {

// Conversions between the JSON text of the protocol codecs and the jsoncpp values of libjsonrpccpp.

/// @return the parsed value, or a null value if @p text is malformed.
inline Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string error;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &error))
        return {};
    return value;
}

/// @return @p value as JSON text without line breaks.
inline std::string formatJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace persimmon::coordination
