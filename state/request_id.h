#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::state {

/// Maximum length of the unique part of a request id, in characters.
inline constexpr std::size_t MaxUniqueLength = 64;

/// Identifies the only entry incarnation that may run a request, and the epoch of the request.
struct Home
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;

    bool operator==(const Home &) const = default;
};

/// Id of a non-repeatable request: `<host>.<incarnation>.<epoch>:<unique>`.
struct RequestId
{
    Home home;
    std::string unique;

    bool operator==(const RequestId &) const = default;
};

/// @return `<host>.<incarnation>.<epoch>` with a hexadecimal incarnation and a decimal epoch.
std::string formatHome(const Home &home);

/// @return the id, or std::nullopt if @p text is not in canonical form.
std::optional<RequestId> parseRequestId(std::string_view text);

} // namespace persimmon::state
