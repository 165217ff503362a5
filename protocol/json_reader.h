#pragma once

#include "protocol/protocol_error.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Maximum size of the name of a service, shard, host, profile or caller, in bytes.
inline constexpr std::size_t NameLimit = 256;
/// Maximum size of a key, request id or snapshot token, in bytes.
inline constexpr std::size_t TokenLimit = 1024;
/// Maximum duration in a message.
inline constexpr std::chrono::milliseconds DurationLimit = std::chrono::hours(24);
/// Maximum nesting depth of arrays and objects in a message.
inline constexpr std::size_t DefaultJsonDepth = 64;

/// First error found in a JSON text.
struct JsonError
{
    ProtocolErrorCode code = ProtocolErrorCode::Malformed;
    /// JSON pointer to the invalid value, "" for the whole text.
    std::string path;
    /// JSON text of the invalid value, truncated.
    std::string value;
    std::string reason;
};

/// Converts @p error to a ProtocolError with the path and the reason in the message.
ProtocolError toProtocolError(const JsonError &error);

/// Reads one value of a JSON text. The first error is recorded and later reads return default
/// values, so that a decoder can read all members and check for an error once.
class JsonReader
{
public:
    /// @param error receives the first error; shared by all readers of a text.
    JsonReader(const boost::json::value &value, std::string path, std::optional<JsonError> &error);

    /// @return whether the value is an object with a member @p name that is not null.
    bool has(std::string_view name) const;

    /// @return a reader for the member @p name; a missing member is an error.
    JsonReader member(std::string_view name) const;

    /// Records an error unless the value is an object without members other than @p names.
    void allowOnly(std::initializer_list<std::string_view> names) const;

    /// @return a string of @p min to @p max bytes.
    std::string text(std::size_t min = 0,
                     std::size_t max = std::numeric_limits<std::size_t>::max()) const;
    /// @return a string of 1 to NameLimit bytes.
    std::string name() const { return text(1, NameLimit); }
    std::uint64_t integer(std::uint64_t min = 0,
                          std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) const;
    std::uint32_t integer32(std::uint32_t min = 0) const;
    double number(double min, double max) const;
    bool boolean() const;
    /// @return an integer number of milliseconds from @p min to @p max.
    std::chrono::milliseconds
    milliseconds(std::chrono::milliseconds min = std::chrono::milliseconds(0),
                 std::chrono::milliseconds max = DurationLimit) const;
    /// @return the JSON text of the value, which must be of @p kind.
    std::string rawText(boost::json::kind kind) const;
    /// @return the JSON text of an object, with the members of all nested objects sorted by name.
    std::string canonicalObject() const;

    /// Calls @p visit for each element of an array until the first error.
    void forEach(const std::function<void(const JsonReader &)> &visit) const;

    /// @return the enumerator whose name in @p table is the string.
    template <typename Enum, std::size_t Size>
    Enum enumerator(const std::array<EnumName<Enum>, Size> &table) const
    {
        const auto found =
                value_.is_string() ? enumValue(table, value_.get_string()) : std::optional<Enum>();
        if (found)
            return *found;
        std::string allowed;
        for (const auto &row : table)
            allowed.append(allowed.empty() ? "" : ", ").append(row.name);
        fail(ProtocolErrorCode::InvalidValue, "must be one of " + allowed);
        return table.front().value;
    }

    /// Records an error at this value unless one is already recorded.
    void fail(ProtocolErrorCode code, std::string reason) const;

    bool failed() const { return error_.has_value(); }
    const boost::json::value &value() const { return value_; }

private:
    const boost::json::value &value_;
    std::string path_;
    std::optional<JsonError> &error_;
};

/// Parses a JSON text.
/// @return the value, or std::nullopt if the text is invalid and @p error was set.
std::optional<boost::json::value> parseJson(std::string_view text, std::optional<JsonError> &error,
                                            std::size_t depth = DefaultJsonDepth);

/// @return @p duration in milliseconds, or 0 if it is negative, since messages must not contain
///         negative durations.
std::int64_t millisecondCount(std::chrono::milliseconds duration);

/// Adds a member whose value is already serialized, without parsing it again.
/// @param object JSON text of an object.
/// @param value JSON text of the member; if it is empty, @p fallback is used.
/// @return the JSON text of the object with the new member.
std::string withRawMember(std::string object, std::string_view name, std::string_view value,
                          std::string_view fallback);

/// Parses @p text and decodes it with @p read, which is called with a reader for the root value.
/// @return the message, or the first error.
template <typename Message, typename Read>
ProtocolResult<Message> decodeJson(std::string_view text, Read read,
                                   std::size_t depth = DefaultJsonDepth)
{
    std::optional<JsonError> error;
    const auto value = parseJson(text, error, depth);
    if (!value)
        return toProtocolError(*error);
    Message message = read(JsonReader(*value, "", error));
    if (error)
        return toProtocolError(*error);
    return message;
}

} // namespace persimmon::protocol
