#pragma once

#include "state/cluster_view.h"

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
    /// 0 if the key was lost by a restore and not written again.
    std::uint64_t revisionAfter = 0;
    /// Why the new value was rejected; empty if it was accepted.
    std::optional<protocol::ConfigError> fault;
};

/// Configuration entries, of which the one with the higher position wins for each key. Each key has
/// its newest entry and its newest valid entry. Their positions only increase, so that merges in
/// any order converge.
///
/// After a restore of the service, the store stays unreconciled until reconcile() is called. Until
/// then it keeps what the restored copy lacks or shows older, as operators write it again.
class ConfigStore
{
public:
    /// Merges entries. Those with lower positions are ignored.
    /// @return the changes, accepted and rejected.
    std::vector<ConfigChange> merge(const std::vector<protocol::ConfigEntry> &entries,
                                    std::string_view source);

    /// Adopts the state of a restored service in place of what it has lost and what was not written
    /// again. Keys that the service has lost are forgotten.
    /// @param entries all entries of the service, or of a store that has adopted its state.
    /// @return the changes, accepted and rejected.
    std::vector<ConfigChange> reconcile(const std::vector<protocol::ConfigEntry> &entries,
                                        std::string_view source);

    /// Records that every change up to @p position has been merged or is about to be merged. A
    /// later era than the first leaves the store unreconciled.
    void advanceTo(const protocol::HistoryPosition &position);

    const protocol::HistoryPosition &position() const { return position_; }
    std::uint64_t revision() const { return position_.revision; }

    /// @return whether the store has adopted the state of the service in the current era.
    bool isReconciled() const { return reconciled_; }

    /// @return a hash over key, newest position and newest valid position of all entries.
    std::uint64_t digest() const { return digest_; }

    /// @return the entries with a position above @p since, including tombstones, and the valid
    ///         value of each key whose newest value was rejected. The service no longer has that
    ///         value, so a host that starts after the rejection can get it only from peers.
    std::vector<protocol::ConfigEntry> entriesSince(const protocol::HistoryPosition &since) const;

    /// @return the valid entries in effect, without tombstones.
    std::vector<protocol::ConfigEntry> entriesInEffect() const;

    /// Writes the values in effect into @p view.
    void writeTo(ClusterView &view) const;

private:
    struct Record
    {
        protocol::ConfigEntry newest;
        /// Era 1 and revision 0 if no valid value is known.
        protocol::ConfigEntry valid;
        std::optional<protocol::ConfigDocument> document;
    };

    std::optional<ConfigChange> mergeEntry(const protocol::ConfigEntry &entry,
                                           std::string_view source);
    bool isLost(const protocol::ConfigEntry &entry, bool isKnown) const;
    static std::uint64_t hashRecord(const Record &record);

    std::map<std::string, Record, std::less<>> records_;
    protocol::HistoryPosition position_;
    bool reconciled_ = true;
    std::uint64_t digest_ = 0;
};

} // namespace persimmon::state
