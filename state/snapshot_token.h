#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::state {

/// @return the token of a snapshot, `<group>:<id>`.
std::string formatSnapshotToken(std::string_view group, std::uint64_t snapshot);

/// @return the snapshot id in @p token, or std::nullopt if it is not a token of @p group.
std::optional<std::uint64_t> parseSnapshotToken(std::string_view token, std::string_view group);

} // namespace persimmon::state
