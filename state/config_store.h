#pragma once

#include "state/cluster_view.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// An accepted or rejected change to a configuration key.
struct ConfigChange
{
    /// Origin of the change: the configuration service or a peer.
    std::string source;
    std::string key;
    /// Revision of the previous value in effect; 0 if there was none.
    std::uint64_t revisionBefore = 0;
    std::uint64_t revisionAfter = 0;
    /// Why the new value was rejected; empty if it was accepted.
    std::optional<protocol::ConfigError> fault;
};

/// Configuration entries, of which the higher revision wins for each key. Each key has its newest
/// entry and its newest valid entry. Their revisions only increase, so that merges in any order
/// converge.
class ConfigStore
{
public:
    /// Merges entries. Older revisions are ignored.
    /// @return the changes, accepted and rejected.
    std::vector<ConfigChange> merge(const std::vector<protocol::ConfigEntry> &entries,
                                    std::string_view source);

    /// Records that every change up to @p revision has been merged.
    void advanceRevision(std::uint64_t revision) { revision_ = std::max(revision_, revision); }

    std::uint64_t revision() const { return revision_; }

    /// @return a hash over key, newest revision and newest valid revision of all entries.
    std::uint64_t digest() const { return digest_; }

    /// @return the entries with a revision above @p since, including tombstones, and the valid
    ///         value of each key whose newest value was rejected. The service no longer has that
    ///         value, so a host that starts after the rejection can get it only from peers.
    std::vector<protocol::ConfigEntry> entriesSince(std::uint64_t since) const;

    /// @return the valid entries in effect, without tombstones.
    std::vector<protocol::ConfigEntry> entriesInEffect() const;

    /// Writes the values in effect into @p view.
    void writeTo(ClusterView &view) const;

private:
    struct Record
    {
        protocol::ConfigEntry newest;
        /// Revision 0 if no valid value is known.
        protocol::ConfigEntry valid;
        std::optional<protocol::ConfigDocument> document;
    };

    std::optional<ConfigChange> mergeEntry(const protocol::ConfigEntry &entry,
                                           std::string_view source);
    static std::uint64_t hashRecord(const Record &record);

    std::map<std::string, Record, std::less<>> records_;
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace persimmon::state
