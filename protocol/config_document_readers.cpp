#include "protocol/config_document_readers.h"

#include <algorithm>
#include <set>

namespace persimmon::protocol {

namespace {

constexpr std::size_t MaxConfigNameLength = 128;
constexpr std::chrono::milliseconds MaxDeadline = std::chrono::hours(1);
constexpr std::chrono::milliseconds MaxConnectionCost = std::chrono::minutes(1);
constexpr double MaxExtraLoad = 0.5;
constexpr std::uint64_t MaxSlots = 1024;
constexpr std::uint64_t MaxConnections = 100'000;

std::string readName(const JsonReader &reader)
{
    auto name = reader.text();
    if (!isValidName(name)) {
        reader.fail(ProtocolErrorCode::InvalidValue,
                    "must have 1 to 128 characters of A-Z a-z 0-9 . _ -");
    }
    return name;
}

Shard readShard(const JsonReader &reader)
{
    Shard shard;
    reader.allowOnly({"id", "service", "from", "to"});
    shard.id = readName(reader.member("id"));
    shard.service = readName(reader.member("service"));
    shard.from = static_cast<std::uint32_t>(reader.member("from").integer(0, KeySpaceSize - 1));
    shard.to = static_cast<std::uint32_t>(reader.member("to").integer(1, KeySpaceSize));
    if (shard.from >= shard.to)
        reader.fail(ProtocolErrorCode::InvalidValue, "must have from < to");
    return shard;
}

/// Records an error unless the shards, sorted by range, cover the key space without gap or overlap.
void checkRanges(const JsonReader &reader, const std::vector<Shard> &shards)
{
    std::uint32_t expected = 0;
    for (const auto &shard : shards) {
        if (shard.from != expected) {
            const auto *kind = shard.from > expected ? "gap before" : "overlap at";
            reader.fail(ProtocolErrorCode::InvalidValue,
                        std::string("has a ") + kind + " shard " + shard.id + " (from "
                                + std::to_string(shard.from) + ", expected "
                                + std::to_string(expected) + ")");
        }
        expected = shard.to;
    }
    if (expected != KeySpaceSize) {
        reader.fail(ProtocolErrorCode::InvalidValue, "ends at " + std::to_string(expected)
                                                             + ", must cover 0 to "
                                                             + std::to_string(KeySpaceSize));
    }
}

SnapshotMap readSnapshot(const JsonReader &reader)
{
    SnapshotMap snapshot;
    reader.allowOnly({"id", "shards"});
    snapshot.id = reader.member("id").integer(1);
    const auto list = reader.member("shards");
    std::set<std::string> ids;
    list.forEach([&](const JsonReader &row) {
        snapshot.shards.push_back(readShard(row));
        if (!ids.insert(snapshot.shards.back().id).second)
            row.member("id").fail(ProtocolErrorCode::InvalidValue, "is used by another shard");
    });
    std::sort(snapshot.shards.begin(), snapshot.shards.end(),
              [](const Shard &left, const Shard &right) { return left.from < right.from; });
    if (!reader.failed())
        checkRanges(list, snapshot.shards);
    return snapshot;
}

void checkRepeatability(const JsonReader &reader, const Profile &profile)
{
    // A non-repeatable request must not be sent to several shards, since a partial execution could
    // not be repeated.
    if (!profile.repeatable && profile.scope != Scope::Key) {
        reader.member("scope").fail(ProtocolErrorCode::InvalidValue,
                                    "must be key when repeatable is false");
    }
}

} // namespace

bool isValidName(std::string_view name)
{
    constexpr std::string_view Allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                         "0123456789._-";
    return !name.empty() && name.size() <= MaxConfigNameLength
           && name.find_first_not_of(Allowed) == std::string_view::npos;
}

Profile readProfile(const JsonReader &reader)
{
    constexpr std::chrono::milliseconds MinDeadline(1);
    Profile profile;
    reader.allowOnly({"group", "scope", "min_coverage", "deadline_ms", "enough_after_ms",
                      "priority", "repeatable", "extra_load", "on_low_coverage"});
    profile.group = readName(reader.member("group"));
    profile.scope = reader.member("scope").enumerator(ScopeNames);
    profile.deadline = reader.member("deadline_ms").milliseconds(MinDeadline, MaxDeadline);
    profile.priority = reader.member("priority").enumerator(PriorityNames);
    profile.repeatable = reader.member("repeatable").boolean();
    profile.enoughAfter = profile.deadline;
    if (reader.has("enough_after_ms")) {
        profile.enoughAfter = reader.member("enough_after_ms")
                                      .milliseconds(std::chrono::milliseconds(0), profile.deadline);
    }
    if (reader.has("min_coverage"))
        profile.minCoverage = reader.member("min_coverage").number(0, 1);
    if (reader.has("extra_load"))
        profile.extraLoad = reader.member("extra_load").number(0, MaxExtraLoad);
    if (reader.has("on_low_coverage"))
        profile.onLowCoverage = reader.member("on_low_coverage").enumerator(LowCoverageNames);
    checkRepeatability(reader, profile);
    return profile;
}

GroupSettings readGroupSettings(const JsonReader &reader)
{
    GroupSettings group;
    reader.allowOnly({"slots", "connections", "connection_cost_ms", "cold_limit"});
    group.slots = static_cast<std::uint32_t>(reader.member("slots").integer(1, MaxSlots));
    group.connections =
            static_cast<std::uint32_t>(reader.member("connections").integer(1, MaxConnections));
    group.connectionCost = reader.member("connection_cost_ms")
                                   .milliseconds(std::chrono::milliseconds(0), MaxConnectionCost);
    // A cold upstream must not have a higher limit than a warm one.
    group.coldLimit =
            static_cast<std::uint32_t>(reader.member("cold_limit").integer(1, group.slots));
    return group;
}

GroupIndex readGroupIndex(const JsonReader &reader)
{
    GroupIndex index;
    reader.allowOnly({"snapshots"});
    const auto list = reader.member("snapshots");
    list.forEach([&](const JsonReader &row) {
        const auto last = index.snapshots.empty() ? 0 : index.snapshots.back().id;
        index.snapshots.push_back(readSnapshot(row));
        if (index.snapshots.back().id <= last) {
            row.member("id").fail(ProtocolErrorCode::InvalidValue,
                                  "must be greater than the id of the previous snapshot");
        }
    });
    if (index.snapshots.empty())
        list.fail(ProtocolErrorCode::InvalidValue, "must have at least one snapshot");
    return index;
}

OutOfService readOutOfService(const JsonReader &reader)
{
    OutOfService out;
    reader.forEach([&](const JsonReader &row) { out.names.push_back(readName(row)); });
    return out;
}

} // namespace persimmon::protocol
