#pragma once

#include "coordination/coordination_error.h"
#include "state/entry_membership.h"
#include "state/record_mirror.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <vector>

namespace persimmon::coordination {

/// Why a read of the platform's store failed.
enum class StoreFailure {
    /// No answer, or a refusal; the same call may work later.
    Unavailable,
    /// The history that a watch asked for is gone.
    HistoryGone,
    Malformed,
};

inline constexpr std::array<EnumName<StoreFailure>, 3> StoreFailureNames{{
        {StoreFailure::Unavailable, "unavailable"},
        {StoreFailure::HistoryGone, "history_gone"},
        {StoreFailure::Malformed, "malformed"},
}};

/// One page of a range read.
struct StorePage
{
    std::vector<state::StoreRecord> items;
    bool hasMore = false;
    std::uint64_t asOf = 0;
};

/// Changes that a watch delivered.
struct StoreChanges
{
    std::vector<state::StoreRecord> records;
    std::uint64_t asOf = 0;
};

/// How the store is read.
struct StoreHooks
{
    /// Reads the items after a key; an empty key starts at the first.
    std::function<boost::asio::awaitable<Result<StorePage, StoreFailure>>(std::string after)>
            readPage;
    /// Waits for changes after a revision.
    std::function<boost::asio::awaitable<Result<StoreChanges, StoreFailure>>(
            std::uint64_t after, std::chrono::milliseconds wait)>
            watch;
    /// Closes the connection, so that a running call ends.
    std::function<void()> reset;
};

/// How the copies of other hosts are followed.
struct PeerHooks
{
    /// @return where this host learns what the store holds.
    std::function<state::StoreSource()> source;
    /// Waits for what the copy of a peer has beyond a revision.
    std::function<boost::asio::awaitable<Result<state::RecordDelta, StoreFailure>>(
            std::string peer, std::uint64_t after, std::chrono::milliseconds wait)>
            watch;
};

/// Keeps a RecordMirror up to date with one watch of the store, and with what peers pass on while
/// the store cannot be reached. For one-thread runtimes only.
class RecordFollower
{
public:
    using OnNews = std::function<void(const std::vector<state::StoreRecord> &)>;

    RecordFollower(transport::Runtime &runtime, StoreHooks store, PeerHooks peers, OnNews onNews);

    void start();

    /// Takes what a peer's copy has beyond this one.
    void takeFromPeer(const state::RecordDelta &delta);

    /// Takes the revision of a peer. A watch that has missed it for too long is opened anew.
    void notePeerRevision(std::uint64_t revision);

    /// @return whether peers should pass on what they have.
    bool needsPeers() const { return isStoreLost() || behind_ || !isLoaded(); }

    /// @return whether the store was tried and did not answer.
    bool isStoreLost() const { return tried_ && !connected_; }

    /// @return whether a first complete read, or a peer's records, have arrived.
    bool isLoaded() const { return mirror_.revision() > 0; }

    const state::RecordMirror &mirror() const { return mirror_; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readAll();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<bool> followPeer(std::string peer);
    void setConnected(bool connected, StoreFailure reason);
    void leaveStore();

    transport::Runtime &runtime_;
    const StoreHooks store_;
    const PeerHooks peers_;
    const OnNews onNews_;
    state::RecordMirror mirror_;
    bool connected_ = false;
    /// Host whose copy is followed; empty while the store is read.
    std::string peer_;
    /// Whether a first call has ended.
    bool tried_ = false;
    bool needsSnapshot_ = true;
    /// Whether a peer knows a later revision, and since when.
    bool behind_ = false;
    transport::TimePoint behindSince_{};
    std::uint64_t peerRevision_ = 0;
};

} // namespace persimmon::coordination
