#pragma once

#include "coordination/coordination_error.h"
#include "state/entry_membership.h"
#include "state/record_mirror.h"
#include "state/store_availability.h"
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

/// One page of a range read. @c asOf is the position of the store at the read.
struct StorePage
{
    std::vector<state::StoreRecord> items;
    bool hasMore = false;
    state::StorePosition asOf;
};

/// Changes delivered by a watch, up to position @c asOf of the store.
struct StoreChanges
{
    std::vector<state::StoreRecord> records;
    state::StorePosition asOf;
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
    /// Waits for changes of a peer's mirror after a position of the store; empty if there are none
    /// for some time.
    std::function<boost::asio::awaitable<Result<state::RecordDelta, StoreFailure>>(
            std::string peer, state::StorePosition after)>
            watch;
    /// Ends a watch in progress.
    std::function<void()> reset;
    /// Called when a peer did not answer a watch in time.
    std::function<void(const std::string &peer)> onSilentPeer;
    /// Called when isStoreUnreachable() may have changed.
    std::function<void()> onStoreReachabilityChange;
    /// Called when the store answers this host again and peers may know that it had no outage.
    std::function<void()> onStoreReturn = [] {};
};

/// Settings of RecordFollower.
struct RecordFollowerOptions
{
    /// Time after the first read of a new era of the store in which the operator and the live
    /// upstreams write again what a restore has lost, and the registrations of dead ones expire.
    std::chrono::milliseconds reconcileTime{4500};
    /// See state::StoreAvailability::ToleratedGap.
    std::chrono::milliseconds toleratedGap{state::StoreAvailability::ToleratedGap};
    /// Orders values across eras of the store; see state::RecordMirror.
    state::ContentVersionOf contentVersionOf = [](const state::StoreRecord & /*record*/) {
        return std::optional<state::ContentVersion>();
    };
};

/// Keeps a RecordMirror up to date by a watch on the store or on the mirror of a peer, and with
/// records received from peers while the store is unreachable. For single-threaded runtimes only.
class RecordFollower
{
public:
    /// Called with the changed records after the mirror was updated.
    using OnChange = std::function<void(const std::vector<state::StoreRecord> &)>;

    RecordFollower(transport::Runtime &runtime, StoreHooks store, PeerHooks peers,
                   RecordFollowerOptions options, OnChange onChange);

    void start();

    /// Ends the watch on a peer that is no longer the source of this host. Must be called after
    /// changes of the membership.
    void checkSource();

    /// Applies the records of a peer if they are newer than this mirror.
    /// @param peer control address of the peer.
    void applyPeerDelta(const state::RecordDelta &delta, const std::string &peer);

    /// Records the position of a peer's mirror. The watch is restarted if it does not reach that
    /// position in time, or at once if the peer knows of a later era of the store.
    /// @param isReconciled whether the peer's mirror is reconciled with its era.
    void observePeerPosition(const state::StorePosition &position, bool isReconciled);

    /// @return whether this host should request records from peers.
    bool needsPeerRecords() const { return isStoreUnreachable() || behind_ || !isLoaded(); }

    /// @return whether the store has been called and the last call failed.
    bool isStoreUnreachable() const { return attempted_ && !connected_; }

    /// @return whether the mirror holds records, from a complete read or from a peer.
    bool isLoaded() const { return mirror_.position().revision > 0; }

    const state::RecordMirror &mirror() const { return mirror_; }

    /// @return control address of the peer from which the last records came; empty for the store.
    const std::string &recordSource() const { return recordSource_; }

    /// @return when the store is known to have answered this host or a peer.
    const state::StoreAvailability &availability() const { return availability_; }

    /// @return the same, to add what a peer knows.
    state::StoreAvailability &availability() { return availability_; }

    /// Forgets when the store answered, after this process was suspended.
    void resetAvailability() { availability_.reset(); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readSnapshot();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<bool> followPeer(std::string peer);
    boost::asio::awaitable<void> reconcileAfterRestore(std::uint64_t era);
    void reconcile();
    /// Logs a new era of the store and schedules the reconciliation.
    void onMirrorUpdated();
    /// Records a call that the store has not answered.
    void onStoreFailure(StoreFailure reason);
    /// Records an answer of the store to a call that was sent at @p sentAt and held for @p wait.
    void onStoreAnswer(const state::StorePosition &asOf, transport::TimePoint sentAt,
                       std::chrono::milliseconds wait);
    void setConnected(bool connected, StoreFailure reason);
    void disconnectStore();
    /// Logs a message with the position of the mirror.
    void log(transport::LogLevel level, std::string_view message,
             std::initializer_list<transport::LogField> fields = {}) const;

    transport::Runtime &runtime_;
    const StoreHooks store_;
    const PeerHooks peers_;
    const RecordFollowerOptions options_;
    const OnChange onChange_;
    state::RecordMirror mirror_;
    state::StoreAvailability availability_;
    /// Last era of the mirror that onMirrorUpdated() has handled.
    std::uint64_t era_ = 0;
    /// Time of the last answer of the store that the mirror has applied.
    transport::TimePoint storeAnsweredAt_{};
    bool connected_ = false;
    /// Peer whose mirror is watched; empty while the store is read.
    std::string peer_;
    std::string recordSource_;
    /// Whether a call to the store has completed since startup or since the last disconnectStore().
    bool attempted_ = false;
    bool needsSnapshot_ = true;
    /// Whether a peer has reported a later position, and since when.
    bool behind_ = false;
    transport::TimePoint behindSince_{};
    state::StorePosition peerPosition_;
};

} // namespace persimmon::coordination
