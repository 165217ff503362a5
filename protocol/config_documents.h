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

/// Which shards a query of a profile needs.
enum class Scope { All, Key };

inline constexpr std::array<EnumName<Scope>, 2> ScopeNames{{
        {Scope::All, "all"},
        {Scope::Key, "key"},
}};

/// What to do when coverage is below the profile's least coverage at the deadline.
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
    /// Least coverage, 0 to 1.
    double minCoverage = 1;
    std::chrono::milliseconds deadline{1000};
    /// After this time an answer with the least coverage is good enough.
    std::chrono::milliseconds enoughAfter{1000};
    Priority priority = Priority::Normal;
    bool repeatable = true;
    /// Extra upstream executions per needed one, 0 to 0.5.
    double extraLoad = 0.05;
    LowCoverage onLowCoverage = LowCoverage::Answer;

    bool operator==(const Profile &) const = default;
};

/// Value of group/<name>: what each upstream of the group can bear.
struct GroupSettings
{
    /// Requests that one upstream executes at the same time.
    std::uint32_t slots = 1;
    /// Connections that one upstream accepts.
    std::uint32_t connections = 25;
    /// Time that an upstream takes for a new connection.
    std::chrono::milliseconds connectionCost{0};
    /// Requests that a cold upstream executes at the same time.
    std::uint32_t coldLimit = 1;

    bool operator==(const GroupSettings &) const = default;
};

/// Keys are hashed into [0, KeySpaceSize).
inline constexpr std::uint32_t KeySpaceSize = 65536;

/// One shard of a snapshot: the range [from, to) of the key space and the service that holds it.
struct Shard
{
    std::string id;
    std::string service;
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    bool operator==(const Shard &) const = default;
};

/// One published version of a group's index.
struct SnapshotMap
{
    std::uint64_t id = 0;
    std::vector<Shard> shards;

    bool operator==(const SnapshotMap &) const = default;
};

/// Value of index/<group>: published snapshots, newest last.
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

/// Any value of the configuration.
using ConfigDocument = std::variant<Profile, GroupSettings, GroupIndex, OutOfService>;

/// Why a value is invalid.
struct ConfigError
{
    std::string key;
    /// JSON pointer inside the value, "" for the whole value.
    std::string path;
    std::string value;
    std::string reason;

    bool operator==(const ConfigError &) const = default;
};

/// Validates and reads one key of the configuration. Pure: the same everywhere for the same text.
/// @param key key such as "profile/scoresheet".
/// @param text JSON text of the value.
Result<ConfigDocument, ConfigError> parseConfigDocument(std::string_view key,
                                                        std::string_view text);

/// @return the JSON text of @p document.
std::string formatConfigDocument(const ConfigDocument &document);

/// @return the place of @p key in the key space (xxHash64 modulo KeySpaceSize).
std::uint32_t keyPosition(std::string_view key);

} // namespace persimmon::protocol
