#pragma once

#include "coordination/coordination_error.h"
#include "state/entry_membership.h"
#include "state/record_mirror.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <vector>

namespace persimmon::coordination {

/// Reason why a read of the platform's store, or of a peer's mirror of it, failed.
enum class StoreFailure {
    /// No reply, or an error reply; the same call may succeed later.
    Unavailable,
    /// The store no longer holds the history requested by a watch; a full read is required.
    HistoryGone,
    Malformed,
};

inline constexpr std::array<EnumName<StoreFailure>, 3> StoreFailureNames{{
        {StoreFailure::Unavailable, "unavailable"},
        {StoreFailure::HistoryGone, "history_gone"},
        {StoreFailure::Malformed, "malformed"},
}};

/// One page of a range read. @c asOf is the store revision of the read.
struct StorePage
{
    std::vector<state::StoreRecord> items;
    bool hasMore = false;
    std::uint64_t asOf = 0;
};

/// Changes delivered by a watch, up to store revision @c asOf.
struct StoreChanges
{
    std::vector<state::StoreRecord> records;
    std::uint64_t asOf = 0;
};

/// Operations on the platform's store.
struct StoreHooks
{
    /// Reads a page of the items after a key; an empty key selects the first page.
    std::function<boost::asio::awaitable<Result<StorePage, StoreFailure>>(std::string after)>
            readPage;
    /// Waits up to @c wait for changes after a revision.
    std::function<boost::asio::awaitable<Result<StoreChanges, StoreFailure>>(
            std::uint64_t after, std::chrono::milliseconds wait)>
            watch;
    /// Closes the connection, which ends a call in progress.
    std::function<void()> reset;
};

/// Operations on the mirrors of peers.
struct PeerHooks
{
    /// Returns the source from which this host reads records: the store or a peer.
    std::function<state::StoreSource()> source;
    /// Waits up to @c wait for changes of a peer's mirror after a revision.
    std::function<boost::asio::awaitable<Result<state::RecordDelta, StoreFailure>>(
            std::string peer, std::uint64_t after, std::chrono::milliseconds wait)>
            watch;
    /// Ends a watch in progress.
    std::function<void()> reset;
    /// Called when isStoreUnreachable() may have changed.
    std::function<void()> onStoreReachabilityChange;
};

/// Keeps a RecordMirror up to date by a watch on the store or on the mirror of a peer, and with
/// records received from peers while the store is unreachable. For single-threaded runtimes only.
class RecordFollower
{
public:
    /// Called with the changed records after the mirror was updated.
    using OnChange = std::function<void(const std::vector<state::StoreRecord> &)>;

    RecordFollower(transport::Runtime &runtime, StoreHooks store, PeerHooks peers,
                   OnChange onChange);

    void start();

    /// Ends the watch on a peer that is no longer the source of this host. Must be called after
    /// changes of the membership.
    void checkSource();

    /// Applies the records of a peer if they are newer than this mirror.
    void applyPeerDelta(const state::RecordDelta &delta);

    /// Records the revision of a peer. The watch is restarted if it does not reach that revision in
    /// time.
    void observePeerRevision(std::uint64_t revision);

    /// @return whether this host should request records from peers.
    bool needsPeerRecords() const { return isStoreUnreachable() || behind_ || !isLoaded(); }

    /// @return whether the store has been called and the last call failed.
    bool isStoreUnreachable() const { return attempted_ && !connected_; }

    /// @return whether the mirror holds records, from a complete read or from a peer.
    bool isLoaded() const { return mirror_.revision() > 0; }

    const state::RecordMirror &mirror() const { return mirror_; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readSnapshot();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<bool> followPeer(std::string peer);
    void setConnected(bool connected, StoreFailure reason);
    void disconnectStore();

    transport::Runtime &runtime_;
    const StoreHooks store_;
    const PeerHooks peers_;
    const OnChange onChange_;
    state::RecordMirror mirror_;
    bool connected_ = false;
    /// Peer whose mirror is watched; empty while the store is read.
    std::string peer_;
    /// Whether a call to the store has completed since startup or since the last disconnectStore().
    bool attempted_ = false;
    bool needsSnapshot_ = true;
    /// Whether a peer has reported a later revision, and since when.
    bool behind_ = false;
    transport::TimePoint behindSince_{};
    std::uint64_t peerRevision_ = 0;
};

} // namespace persimmon::coordination
