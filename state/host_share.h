#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::state {

/// Position of this host among the active hosts, which divide shared limits among themselves.
struct HostShare
{
    /// Number of active hosts.
    std::uint32_t hosts = 1;
    /// Zero-based position among the active hosts; std::nullopt if this host is not active.
    std::optional<std::uint32_t> position = 0;
    std::string region;

    bool operator==(const HostShare &) const = default;
};

} // namespace persimmon::state
