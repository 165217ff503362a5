#pragma once

#include "state/decaying_latency_histogram.h"

#include "core/core.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

enum class EntryPhase { Starting, Ready, Leaving };

inline constexpr std::array<EnumName<EntryPhase>, 3> EntryPhaseNames{{
        {EntryPhase::Starting, "starting"},
        {EntryPhase::Ready, "ready"},
        {EntryPhase::Leaving, "leaving"},
}};

/// State of one host of the system, published by the host and relayed by its peers.
struct MemberState
{
    /// Address for exchanges between hosts; identifies the host.
    std::string control;
    /// Address for callers.
    std::string front;
    std::string failureDomain;
    std::string region;
    /// Increases with each start of the host.
    std::uint64_t incarnation = 0;
    /// Counter that the host increments while it runs.
    std::uint64_t heartbeat = 0;
    EntryPhase phase = EntryPhase::Starting;
    /// Whether the host fails to read the platform's store.
    bool storeUnreachable = false;
    /// Sub-requests per second that the host can execute.
    std::uint32_t capacity = 1;
    /// Sub-requests per second that the host executes now.
    std::uint32_t load = 0;
    /// Address for requests that other hosts pass on; empty if the host accepts none.
    std::string relay = {};
    /// Whether the host has lost its path to all upstreams.
    bool upstreamsUnreachable = false;
    /// Whether a host of an earlier version has relayed this state and left out the fields from
    /// @c relay on.
    bool isPartial = false;
    /// Fields of a later version as a JSON array, relayed as they were received; empty for none.
    std::string laterFields = {};

    bool operator==(const MemberState &) const = default;
};

/// The frequently changing part of a MemberState.
struct MemberHeartbeat
{
    /// Host, as returned by hostId().
    std::uint32_t host = 0;
    std::uint64_t heartbeat = 0;
    std::uint32_t load = 0;

    bool operator==(const MemberHeartbeat &) const = default;
};

/// @return a 32-bit hash of the control address that identifies a host within one system.
std::uint32_t hostId(const std::string &control);

/// Source from which a host reads the contents of the platform's store.
struct StoreSource
{
    /// Whether the host reads the store directly.
    bool readsStore = false;
    /// Control address of the host whose copy is followed otherwise.
    std::string peer;

    bool operator==(const StoreSource &) const = default;
};

/// Tracks which hosts of the system are live, by heartbeats that are gossiped between hosts.
class EntryMembership
{
public:
    /// A host in the same region whose heartbeat has not increased for this time is dead.
    static constexpr std::chrono::milliseconds HeartbeatTimeout{3500};
    /// Default heartbeat timeout for hosts in other regions.
    static constexpr std::chrono::milliseconds RemoteHeartbeatTimeout{5000};
    /// Number of heartbeats of this host during which it relays a changed state; enough for the
    /// change to reach all hosts of a region.
    static constexpr std::uint64_t ChangeSpreadHeartbeats = 4;
    /// Time from the last heartbeat of a dead host until it is removed. Until then, relayed old
    /// states of the host are not accepted.
    static constexpr std::chrono::seconds DeadMemberRetention{60};

    /// @param self initial state of this host.
    /// @param remoteHeartbeatTimeout heartbeat timeout for hosts in other regions; longer than
    ///        HeartbeatTimeout, since only a few hosts relay heartbeats between regions.
    explicit EntryMembership(MemberState self, std::chrono::milliseconds remoteHeartbeatTimeout =
                                                       RemoteHeartbeatTimeout);

    /// Increments the heartbeat of this host.
    void advanceHeartbeat();
    void setPhase(EntryPhase phase);

    /// @return whether the state changed.
    bool setStoreUnreachable(bool unreachable);

    /// @return whether the state changed.
    bool setUpstreamsUnreachable(bool unreachable);
    void setRelay(std::string address) { self_.relay = std::move(address); }
    void setLoad(std::uint32_t load) { self_.load = load; }

    /// Merges the member states that a peer has sent, the peer's own first.
    /// @return whether a host appeared, changed its phase or address, lost or regained the store or
    ///         the upstreams, or restarted.
    bool merge(const std::vector<MemberState> &members, TimePoint now);

    /// Merges heartbeats from a peer that holds the same member states.
    void merge(const std::vector<MemberHeartbeat> &heartbeats, TimePoint now);

    /// @return a hash of the states of the live hosts without heartbeats and loads. Two hosts with
    ///         the same digest exchange only heartbeats.
    std::uint64_t digest() const;

    /// @return the heartbeats of this host and of all live peers.
    std::vector<MemberHeartbeat> heartbeats() const;

    /// @return the heartbeats of this host and of the live peers in its region.
    std::vector<MemberHeartbeat> regionHeartbeats() const;

    /// Restarts the heartbeat timeouts of all live peers after this process was suspended until
    /// @p now and could not receive heartbeats.
    void onPause(TimePoint now);

    /// Marks hosts whose heartbeat timeout has elapsed as dead, and removes dead hosts after
    /// DeadMemberRetention.
    /// @return whether a host was marked as dead.
    bool expire(TimePoint now);

    /// @return the states of this host and of all live peers.
    std::vector<MemberState> liveMembers() const;

    /// Records that a live peer did not answer a request in time. It may stand still, long before
    /// its heartbeat timeout has elapsed.
    void suspect(const std::string &control, TimePoint now);

    /// @return the source of store records according to selectStoreSource(), or the store itself
    ///         if the selected peer was suspected within HeartbeatTimeout: the next peer may stand
    ///         still as well, and each that does delays the news by another timeout.
    StoreSource storeSource(TimePoint now) const;

    /// @return liveMembers() and the last state of @p peer even if it is dead, since a host that
    ///         restarted with a lower incarnation needs its old state to choose a higher one.
    std::vector<MemberState> membersFor(const std::string &peer) const;

    /// @return the state of this host and those of membersFor() that changed within
    ///         ChangeSpreadHeartbeats.
    std::vector<MemberState> changedMembersFor(const std::string &peer) const;

    /// @return whether no state changed and no host died within ChangeSpreadHeartbeats.
    bool isStable() const;

    /// @return whether @p control is a known host in the region of this host.
    bool isInOwnRegion(const std::string &control) const;

    /// @return the control addresses of the live hosts except this one.
    std::vector<std::string> livePeers() const;

    const MemberState &self() const { return self_; }

    /// @return the number of live hosts including this one.
    std::uint32_t liveCount() const;

private:
    struct Peer
    {
        MemberState state;
        TimePoint lastHeartbeatAt;
        /// Heartbeat in the last member state that the host sent itself. That in @c state may be
        /// higher and of an earlier incarnation, since relayed heartbeats name none.
        std::uint64_t ownHeartbeat = 0;
        /// Heartbeat in the last member state that was not partial.
        std::uint64_t completeHeartbeat = 0;
        /// Value of round_ when the state last changed, heartbeat and load excepted.
        std::uint64_t changedAtRound = 0;
        bool live = true;
        std::optional<TimePoint> suspectedAt = {};
    };

    /// @param isSender whether the host itself sent its state.
    bool mergeMember(const MemberState &member, bool isSender, TimePoint now);
    /// Takes the fields that partial states lack from a state that is not partial, and from the
    /// known state otherwise.
    /// @return whether the path to the upstreams was lost or regained.
    static bool mergeLaterFields(Peer &peer, const MemberState &member);
    /// Continues above a heartbeat of an earlier incarnation that peers still relay.
    void supersedeHeartbeat(std::uint64_t heartbeat);
    bool changedRecently(const Peer &peer) const;

    MemberState self_;
    /// Number of heartbeats of this incarnation.
    std::uint64_t round_ = 0;
    std::chrono::milliseconds remoteHeartbeatTimeout_;
    std::map<std::string, Peer> peers_;
};

/// Selects the host's source of store records, so that the number of calls to the store does not
/// grow with the number of hosts. StoreReaderCount hosts read the store, one in each region if
/// possible, and ReadersPerUnreachable more for each host that cannot reach it, so that a host that
/// can is soon found among many that cannot. The others follow the copy of a host in their region;
/// each host has at most MaxStoreFollowers followers.
/// @param members live hosts.
/// @param self control address of this host.
/// @return the source. A host that cannot reach the store keeps trying while another host reads in
///         its place.
StoreSource selectStoreSource(const std::vector<MemberState> &members, const std::string &self);

/// Number of hosts that read the store. With three, two may fail or be partitioned at a time.
inline constexpr std::size_t StoreReaderCount = 3;
/// Number of further readers for each host that cannot reach the store.
inline constexpr std::size_t ReadersPerUnreachable = 2;
/// Maximum number of hosts that follow one copy. A region of 1,000 hosts is then four levels deep.
inline constexpr std::size_t MaxStoreFollowers = 8;

/// Selects the hosts that serve callers. While the load is low these are few, so that their
/// connections to upstreams stay in use and slow upstreams are detected sooner.
/// @param entries live hosts.
/// @return for each region two ready hosts in each failure domain, those with the highest capacity
///         first, and further ones until their capacity is twice the load of the region. Hosts that
///         have lost their path to all upstreams are left out unless all have.
std::vector<MemberState> selectActiveEntries(const std::vector<MemberState> &entries);

/// Selects the hosts that are returned to a caller.
/// @param entries live hosts.
/// @param callerRegion region of the caller.
/// @param servingRegions regions with the upstreams that the caller's requests need. A host in
///        another region would fetch every part of a response across regions.
/// @param homeRegions regions that may handle the caller's requests; empty for all. The region of
///        the caller may receive them as well.
/// @param maxCount maximum number of hosts.
/// @return the active hosts in the caller's region if it is a serving region, else those in the
///         serving regions, else all active hosts; outside the caller's region only those in home
///         regions if there are any there. Hosts that are starting if none is ready.
std::vector<MemberState> selectEntriesForCaller(const std::vector<MemberState> &entries,
                                                const std::string &callerRegion,
                                                const std::vector<std::string> &servingRegions,
                                                const std::vector<std::string> &homeRegions,
                                                std::size_t maxCount);

} // namespace persimmon::state
