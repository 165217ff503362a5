#include "protocol/json_reader.h"

#include "protocol/json_writer.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

/// Maximum size of the value text in an error, in bytes.
constexpr std::size_t ErrorValueLimit = 200;

const json::value NullValue;

std::string shortText(const json::value &value)
{
    auto text = serializeJson(value);
    if (text.size() <= ErrorValueLimit)
        return text;
    auto end = ErrorValueLimit;
    // Truncation inside a UTF-8 sequence would make the error itself invalid JSON text.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
        --end;
    return text.substr(0, end) + "...";
}

std::string escapePointer(std::string_view name)
{
    std::string escaped;
    for (const auto letter : name) {
        if (letter == '~')
            escaped += "~0";
        else if (letter == '/')
            escaped += "~1";
        else
            escaped += letter;
    }
    return escaped;
}

template <typename Number>
std::string rangeText(const char *kind, Number min, Number max)
{
    std::ostringstream text;
    text << "must be " << kind << " from " << min << " to " << max;
    return text.str();
}

} // namespace

ProtocolError toProtocolError(const JsonError &error)
{
    return {error.code, error.path.empty() ? error.reason : error.path + ": " + error.reason};
}

JsonReader::JsonReader(const json::value &value, std::string path, std::optional<JsonError> &error)
    : value_(value),
      path_(std::move(path)),
      error_(error)
{
}

bool JsonReader::has(std::string_view name) const
{
    if (!value_.is_object())
        return false;
    const auto *found = value_.get_object().if_contains(name);
    return found != nullptr && !found->is_null();
}

JsonReader JsonReader::member(std::string_view name) const
{
    const auto *object = value_.if_object();
    if (object == nullptr)
        fail(ProtocolErrorCode::InvalidValue, "must be an object");
    const auto *found = object == nullptr ? nullptr : object->if_contains(name);
    const JsonReader reader(found == nullptr ? NullValue : *found,
                            path_ + "/" + escapePointer(name), error_);
    if (found == nullptr)
        reader.fail(ProtocolErrorCode::MissingField, "is missing");
    return reader;
}

void JsonReader::allowOnly(std::initializer_list<std::string_view> names) const
{
    if (!value_.is_object()) {
        fail(ProtocolErrorCode::InvalidValue, "must be an object");
        return;
    }
    for (const auto &row : value_.get_object()) {
        const std::string_view name(row.key().data(), row.key().size());
        if (std::find(names.begin(), names.end(), name) != names.end())
            continue;
        const JsonReader reader(row.value(), path_ + "/" + escapePointer(name), error_);
        reader.fail(ProtocolErrorCode::InvalidValue, "is an unknown member");
    }
}

std::string JsonReader::text(std::size_t min, std::size_t max) const
{
    if (!value_.is_string()) {
        fail(ProtocolErrorCode::InvalidValue, "must be a string");
        return {};
    }
    const auto &text = value_.get_string();
    if (text.size() >= min && text.size() <= max)
        return {text.data(), text.size()};
    fail(ProtocolErrorCode::InvalidValue, rangeText("a string with a byte length", min, max));
    return {};
}

std::uint64_t JsonReader::integer(std::uint64_t min, std::uint64_t max) const
{
    std::uint64_t number = 0;
    bool valid = false;
    if (value_.is_uint64()) {
        number = value_.get_uint64();
        valid = true;
    } else if (value_.is_int64() && value_.get_int64() >= 0) {
        number = static_cast<std::uint64_t>(value_.get_int64());
        valid = true;
    }
    if (valid && number >= min && number <= max)
        return number;
    fail(ProtocolErrorCode::InvalidValue, rangeText("an integer", min, max));
    return min;
}

std::uint32_t JsonReader::integer32(std::uint32_t min) const
{
    return static_cast<std::uint32_t>(integer(min, std::numeric_limits<std::uint32_t>::max()));
}

double JsonReader::number(double min, double max) const
{
    if (value_.is_number()) {
        const auto number = value_.to_number<double>();
        if (std::isfinite(number) && number >= min && number <= max)
            return number;
    }
    fail(ProtocolErrorCode::InvalidValue, rangeText("a number", min, max));
    return min;
}

bool JsonReader::boolean() const
{
    if (value_.is_bool())
        return value_.get_bool();
    fail(ProtocolErrorCode::InvalidValue, "must be true or false");
    return false;
}

std::chrono::milliseconds JsonReader::milliseconds(std::chrono::milliseconds min,
                                                   std::chrono::milliseconds max) const
{
    return std::chrono::milliseconds(integer(static_cast<std::uint64_t>(min.count()),
                                             static_cast<std::uint64_t>(max.count())));
}

std::string JsonReader::rawText(json::kind kind) const
{
    if (value_.kind() == kind)
        return serializeJson(value_);
    const auto name = json::to_string(kind);
    fail(ProtocolErrorCode::InvalidValue,
         "must be of type " + std::string(name.data(), name.size()));
    return {};
}

std::string JsonReader::canonicalObject() const
{
    std::string text;
    if (!value_.is_object())
        fail(ProtocolErrorCode::InvalidValue, "must be an object");
    else
        appendJson(text, value_, MemberOrder::ByName);
    return text;
}

void JsonReader::forEach(const std::function<void(const JsonReader &)> &visit) const
{
    if (!value_.is_array()) {
        fail(ProtocolErrorCode::InvalidValue, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const auto &element : value_.get_array()) {
        if (failed())
            return;
        visit(JsonReader(element, path_ + "/" + std::to_string(index), error_));
        ++index;
    }
}

void JsonReader::fail(ProtocolErrorCode code, std::string reason) const
{
    if (!error_)
        error_ = JsonError{code, path_, shortText(value_), std::move(reason)};
}

std::optional<json::value> parseJson(std::string_view text, std::optional<JsonError> &error,
                                     std::size_t depth)
{
    json::parse_options options;
    options.max_depth = depth;
    json::error_code failure;
    auto value = json::parse(text, failure, {}, options);
    if (!failure)
        return value;
    error = JsonError{ProtocolErrorCode::Malformed, "", "",
                      "is not valid JSON: " + failure.message()};
    return std::nullopt;
}

std::int64_t millisecondCount(std::chrono::milliseconds duration)
{
    return std::max<std::int64_t>(duration.count(), 0);
}

std::string withRawMember(std::string object, std::string_view name, std::string_view value,
                          std::string_view fallback)
{
    object.pop_back();
    object.append(object.size() > 1 ? ",\"" : "\"").append(name).append("\":");
    object.append(value.empty() ? fallback : value).append("}");
    return object;
}

} // namespace persimmon::protocol
