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

/// Longest name of a service, shard, host, profile or caller, in bytes.
inline constexpr std::size_t NameLimit = 256;
/// Longest key, request id or snapshot token, in bytes.
inline constexpr std::size_t TokenLimit = 1024;
/// Longest duration in a message.
inline constexpr std::chrono::milliseconds DurationLimit = std::chrono::hours(24);
/// Deepest nesting of arrays and objects in the text of a message.
inline constexpr std::size_t DefaultJsonDepth = 64;

/// First fault found in a JSON text.
struct JsonError
{
    ProtocolErrorCode code = ProtocolErrorCode::Malformed;
    /// JSON pointer to the faulty value, "" for the whole text.
    std::string path;
    /// JSON text of the faulty value, shortened.
    std::string value;
    std::string reason;
};

/// @return @p fault as an error of the layer, with path and reason in the message.
ProtocolError toProtocolError(const JsonError &fault);

/// Reads one value of a JSON text. The first fault of a text is kept and later reads return
/// defaults, so that a decoder reads all members and checks for a fault once.
class JsonReader
{
public:
    /// @param fault place for the first fault; shared by all readers of a text.
    JsonReader(const boost::json::value &value, std::string path, std::optional<JsonError> &fault);

    /// @return whether the value is an object that has a member @p name which is not null.
    bool has(std::string_view name) const;

    /// @return reader of the member @p name; a missing one is a fault.
    JsonReader member(std::string_view name) const;

    /// Records a fault unless the value is an object with no other members than @p names.
    void allowOnly(std::initializer_list<std::string_view> names) const;

    /// @return a string of @p least to @p most bytes.
    std::string text(std::size_t least = 0,
                     std::size_t most = std::numeric_limits<std::size_t>::max()) const;
    /// @return a string of 1 to NameLimit bytes.
    std::string name() const { return text(1, NameLimit); }
    std::uint64_t integer(std::uint64_t least = 0,
                          std::uint64_t most = std::numeric_limits<std::uint64_t>::max()) const;
    std::uint32_t integer32(std::uint32_t least = 0) const;
    double number(double least, double most) const;
    bool boolean() const;
    /// @return whole milliseconds from @p least to @p most.
    std::chrono::milliseconds
    milliseconds(std::chrono::milliseconds least = std::chrono::milliseconds(0),
                 std::chrono::milliseconds most = DurationLimit) const;
    /// @return the value's JSON text; the value must be of @p kind.
    std::string rawText(boost::json::kind kind) const;
    /// @return the JSON text of an object, with the members of all objects sorted by name.
    std::string canonicalObject() const;

    /// Calls @p visit for each element of an array, until the first fault.
    void forEach(const std::function<void(const JsonReader &)> &visit) const;

    /// @return the enumerator named by the string.
    template <typename Enum, std::size_t Size>
    Enum choice(const std::array<EnumName<Enum>, Size> &table) const
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

    /// Records a fault at this value unless there is one already.
    void fail(ProtocolErrorCode code, std::string reason) const;

    bool failed() const { return fault_.has_value(); }
    const boost::json::value &value() const { return value_; }

private:
    const boost::json::value &value_;
    std::string path_;
    std::optional<JsonError> &fault_;
};

/// Parses a JSON text.
/// @return the value; nothing when @p fault was set.
std::optional<boost::json::value> parseJson(std::string_view text, std::optional<JsonError> &fault,
                                            std::size_t depth = DefaultJsonDepth);

/// @return the whole milliseconds of @p duration for a message; 0 when it is negative, since a
///         negative number is not allowed there.
std::int64_t millisecondCount(std::chrono::milliseconds duration);

/// Adds a member whose value is JSON text already, which saves parsing it again.
/// @param object JSON text of an object.
/// @param value JSON text of the member; @p fallback is taken when it is empty.
/// @return the JSON text of the larger object.
std::string withRawMember(std::string object, std::string_view name, std::string_view value,
                          std::string_view fallback);

/// Parses @p text and reads it with @p read, which takes the reader of the whole text.
/// @return the message, or the first fault.
template <typename Message, typename Read>
ProtocolResult<Message> decodeJson(std::string_view text, Read read,
                                   std::size_t depth = DefaultJsonDepth)
{
    std::optional<JsonError> fault;
    const auto value = parseJson(text, fault, depth);
    if (!value)
        return toProtocolError(*fault);
    Message message = read(JsonReader(*value, "", fault));
    if (fault)
        return toProtocolError(*fault);
    return message;
}

} // namespace persimmon::protocol
