#pragma once

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <memory>
#include <string>

namespace persimmon::coordination {

// The codecs work on JSON text and libjsonrpccpp on jsoncpp values.

/// @return the value of a JSON text; null when the text is malformed.
inline Json::Value toValue(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string fault;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &fault))
        return {};
    return value;
}

/// @return the JSON text of @p value on one line.
inline std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace persimmon::coordination
