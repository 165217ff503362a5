#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::protocol {

/// Member of a JSON object whose value has not been parsed.
struct JsonMember
{
    /// Name as it stands in the text, without its quotes.
    std::string_view name;
    std::string_view value;
};

/// Splits the text of a JSON object without parsing the values, so that a value that is nested too
/// deeply, or not valid, leaves the others readable. Needs no stack space for nested values.
/// @return the members in their order, or std::nullopt if the text is no object.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// Splits the text of a JSON array likewise.
/// @return the texts of the elements, or std::nullopt if the text is no array.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// @return the text of the member @p name, or std::nullopt if there is none.
std::optional<std::string_view> findMember(const std::vector<JsonMember> &members,
                                           std::string_view name);

/// Makes the text of an object from some of the members of another one.
/// @param excluded name of the member that is left out.
std::string joinWithout(const std::vector<JsonMember> &members, std::string_view excluded);

} // namespace persimmon::protocol
