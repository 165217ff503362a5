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

/// One change of a configuration key, accepted or rejected.
struct ConfigChange
{
    /// Who delivered it: the service or a peer.
    std::string source;
    std::string key;
    /// Revision of the value in effect before; 0 when there was none.
    std::uint64_t revisionBefore = 0;
    std::uint64_t revisionAfter = 0;
    /// Why the new value was rejected; nothing when it was accepted.
    std::optional<protocol::ConfigFault> fault;
};

/// Configuration entries, merged by the higher revision for each key. Each key keeps its newest
/// entry and its newest valid one. Both rise only, so that merges in any order converge.
class ConfigStore
{
public:
    /// Merges entries. Older revisions are ignored.
    /// @return the changes, accepted and rejected.
    std::vector<ConfigChange> merge(const std::vector<protocol::ConfigEntry> &entries,
                                    std::string_view source);

    /// States that every change up to @p revision was merged.
    void noteRevision(std::uint64_t revision) { revision_ = std::max(revision_, revision); }

    std::uint64_t revision() const { return revision_; }

    /// @return a hash over key, newest revision and newest valid revision of all entries.
    std::uint64_t digest() const { return digest_; }

    /// @return the entries with a revision above @p since, tombstones included, and the valid value
    ///         of each key whose newest value was rejected. The service no longer has that value,
    ///         so a host that starts after the rejection gets it from peers only.
    std::vector<protocol::ConfigEntry> entriesSince(std::uint64_t since) const;

    /// @return the entries in effect, without tombstones.
    std::vector<protocol::ConfigEntry> entriesInEffect() const;

    /// Writes the values in effect into @p view.
    void fill(ClusterView &view) const;

private:
    struct Record
    {
        protocol::ConfigEntry newest;
        /// Revision 0 when no valid value is known.
        protocol::ConfigEntry valid;
        std::optional<protocol::ConfigDocument> document;
    };

    std::optional<ConfigChange> mergeOne(const protocol::ConfigEntry &entry,
                                         std::string_view source);
    static std::uint64_t hashRecord(const Record &record);

    std::map<std::string, Record, std::less<>> records_;
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace persimmon::state
