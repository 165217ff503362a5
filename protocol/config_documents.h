#pragma once

#include "protocol/priority.h"
#include "protocol/protocol_error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon::protocol {

/// Shards that are required for a query of a profile.
enum class Scope { All, Key };

inline constexpr std::array<EnumName<Scope>, 2> ScopeNames{{
        {Scope::All, "all"},
        {Scope::Key, "key"},
}};

/// Response if the coverage is below the profile's minimum at the deadline: a partial result or an
/// error.
enum class LowCoverage { Answer, Refuse };

inline constexpr std::array<EnumName<LowCoverage>, 2> LowCoverageNames{{
        {LowCoverage::Answer, "answer"},
        {LowCoverage::Refuse, "refuse"},
}};

/// Value of profile/<name>.
struct Profile
{
    std::string group;
    Scope scope = Scope::All;
    /// Minimum coverage, 0 to 1.
    double minCoverage = 1;
    std::chrono::milliseconds deadline{1000};
    /// Time after which a result with the minimum coverage is returned at once.
    std::chrono::milliseconds enoughAfter{1000};
    Priority priority = Priority::Normal;
    bool repeatable = true;
    /// Budget of extra upstream executions (hedges and retries) per required one, 0 to 0.5.
    double extraLoad = 0.05;
    LowCoverage onLowCoverage = LowCoverage::Answer;

    bool operator==(const Profile &) const = default;
};

/// Value of group/<name>: capacity of each upstream of the group.
struct GroupSettings
{
    /// Number of requests that one upstream executes concurrently.
    std::uint32_t slots = 1;
    /// Number of connections that one upstream accepts.
    std::uint32_t connections = 25;
    /// Time that an upstream needs to accept a new connection.
    std::chrono::milliseconds connectionCost{0};
    /// Number of requests that a cold upstream executes concurrently.
    std::uint32_t coldLimit = 1;

    bool operator==(const GroupSettings &) const = default;
};

/// Keys are hashed into [0, KeySpaceSize).
inline constexpr std::uint32_t KeySpaceSize = 65536;

/// One shard of a snapshot: the range [from, to) of the key space and the service that serves it.
struct Shard
{
    std::string id;
    std::string service;
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    bool operator==(const Shard &) const = default;
};

/// Published version of a group's index.
struct SnapshotMap
{
    std::uint64_t id = 0;
    std::vector<Shard> shards;

    bool operator==(const SnapshotMap &) const = default;
};

/// Value of index/<group>: published snapshots in ascending order of ids, newest last.
struct GroupIndex
{
    std::vector<SnapshotMap> snapshots;

    bool operator==(const GroupIndex &) const = default;
};

/// Value of out/domains or out/hosts: names taken out of service.
struct OutOfService
{
    std::vector<std::string> names;

    bool operator==(const OutOfService &) const = default;
};

/// Value of any configuration key.
using ConfigDocument = std::variant<Profile, GroupSettings, GroupIndex, OutOfService>;

/// Validation error of a configuration value.
struct ConfigError
{
    std::string key;
    /// JSON pointer to the invalid part, "" for the whole value.
    std::string path;
    std::string value;
    std::string reason;

    bool operator==(const ConfigError &) const = default;
};

/// Parses and validates the value of one configuration key. The result depends on the arguments
/// only, so that all hosts accept or reject the same values.
/// @param key configuration key, for example "profile/scoresheet".
/// @param text JSON text of the value.
Result<ConfigDocument, ConfigError> parseConfigDocument(std::string_view key,
                                                        std::string_view text);

/// @return the JSON text of @p document.
std::string formatConfigDocument(const ConfigDocument &document);

/// @return the position of @p key in the key space (xxHash64 modulo KeySpaceSize).
std::uint32_t keyPosition(std::string_view key);

} // namespace persimmon::protocol
