#include "state/snapshot_token.h"

#include <charconv>

namespace persimmon::state {

std::optional<std::uint64_t> parseSnapshotToken(std::string_view token, std::string_view group)
{
    const auto colon = token.rfind(':');
    if (colon == std::string_view::npos || token.substr(0, colon) != group)
        return std::nullopt;
    const auto digits = token.substr(colon + 1);
    std::uint64_t snapshot = 0;
    const auto *end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, snapshot);
    if (digits.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return snapshot;
}

std::string formatSnapshotToken(std::string_view group, std::uint64_t snapshot)
{
    return std::string(group) + ":" + std::to_string(snapshot);
}

} // namespace persimmon::state
