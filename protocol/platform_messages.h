#pragma once

#include "protocol/protocol_error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::protocol {

/// Configuration key and value with the revision of the last change.
struct ConfigEntry
{
    std::string key;
    std::uint64_t revision = 0;
    /// JSON text of the value; std::nullopt if the key was deleted.
    std::optional<std::string> value;

    bool operator==(const ConfigEntry &) const = default;
};

/// Response of the configuration service: the newest value of each key that changed since the
/// requested revision.
struct ConfigResponse
{
    std::uint64_t revision = 0;
    std::vector<ConfigEntry> entries;

    bool operator==(const ConfigResponse &) const = default;
};

enum class HostKind { Entry, Upstream };

inline constexpr std::array<EnumName<HostKind>, 2> HostKindNames{{
        {HostKind::Entry, "entry"},
        {HostKind::Upstream, "upstream"},
}};

enum class HostState { Live, Leaving };

inline constexpr std::array<EnumName<HostState>, 2> HostStateNames{{
        {HostState::Live, "live"},
        {HostState::Leaving, "leaving"},
}};

/// Row of the host list.
struct HostRecord
{
    std::string name;
    HostKind kind = HostKind::Entry;
    /// IP address of an entry host, IP:port of an upstream.
    std::string address;
    std::string failureDomain;
    /// Service of an upstream; empty for an entry host.
    std::string service;
    HostState state = HostState::Live;

    bool operator==(const HostRecord &) const = default;
};

/// Response with the host list: the complete list, or std::nullopt if it has not changed since the
/// requested revision.
struct HostsResponse
{
    std::uint64_t revision = 0;
    std::optional<std::vector<HostRecord>> hosts;

    bool operator==(const HostsResponse &) const = default;
};

} // namespace persimmon::protocol
