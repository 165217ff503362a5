#pragma once

#include "state/decaying_latency_histogram.h"

#include "core/core.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::state {

enum class EntryPhase { Starting, Ready, Leaving };

inline constexpr std::array<EnumName<EntryPhase>, 3> EntryPhaseNames{{
        {EntryPhase::Starting, "starting"},
        {EntryPhase::Ready, "ready"},
        {EntryPhase::Leaving, "leaving"},
}};

/// What a host says of itself, passed on by its peers.
struct EntryRow
{
    /// Address for exchanges between hosts; names the host.
    std::string control;
    /// Address for callers.
    std::string front;
    std::string failureDomain;
    std::string region;
    /// Higher for each later start of the host.
    std::uint64_t incarnation = 0;
    /// Rises while the host lives.
    std::uint64_t heartbeat = 0;
    EntryPhase phase = EntryPhase::Starting;
    /// Whether the host tried to read the platform's store and cannot.
    bool storeLost = false;
    /// Sub-requests per second that the host is built for.
    std::uint32_t capacity = 1;
    /// Sub-requests per second that it executes.
    std::uint32_t load = 0;

    bool operator==(const EntryRow &) const = default;
};

/// The part of a row that changes all the time.
struct Heartbeat
{
    /// See hostId().
    std::uint32_t host = 0;
    std::uint64_t heartbeat = 0;
    std::uint32_t load = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// @return short id of a host within one system.
std::uint32_t hostId(const std::string &control);

/// The hosts of the system by heartbeats that spread from host to host.
class EntryMembership
{
public:
    /// A host in the own region whose heartbeat stood still for this time counts as dead.
    static constexpr std::chrono::milliseconds DeadTime{3500};
    /// The same for hosts in other regions, if the constructor is not told another time.
    static constexpr std::chrono::milliseconds FarDeadTime{5000};
    /// A changed row is passed on during this many heartbeats of this host, time for it to reach
    /// all hosts of a region.
    static constexpr std::uint64_t NewsBeats = 4;
    /// A dead host is forgotten after this time; until then its old rows cannot return.
    static constexpr std::chrono::seconds ForgetTime{60};

    /// @param farDeadTime time after which a host in another region counts as dead; longer than
    ///        DeadTime, since its heartbeats come through a few hosts only.
    explicit EntryMembership(EntryRow self, std::chrono::milliseconds farDeadTime = FarDeadTime);

    /// Advances the heartbeat of this host.
    void beat() { ++self_.heartbeat; }
    void setPhase(EntryPhase phase);
    void setStoreLost(bool lost) { self_.storeLost = lost; }
    void setLoad(std::uint32_t load) { self_.load = load; }

    /// Takes rows that a peer knows.
    /// @return whether a host appeared, changed its phase or started anew.
    bool merge(const std::vector<EntryRow> &rows, TimePoint now);

    /// Takes heartbeats from a peer that holds the same rows.
    void merge(const std::vector<Heartbeat> &heartbeats, TimePoint now);

    /// @return hash over all that the rows of the live hosts say beside heartbeats and loads. Two
    /// hosts
    ///         with the same digest exchange only heartbeats.
    std::uint64_t digest() const;

    /// @return heartbeats of this host and of all live ones.
    std::vector<Heartbeat> heartbeats() const;

    /// @return those of heartbeats() whose hosts are in the own region.
    std::vector<Heartbeat> regionHeartbeats() const;

    /// Notes that this process did not run until @p now, so that it has heard of nobody; the others
    /// get the whole time again.
    void onPause(TimePoint now);

    /// Notes the hosts whose heartbeat stood still too long, and forgets old ones.
    /// @return whether a host was found dead.
    bool expire(TimePoint now);

    /// @return the rows of this host and of all live ones.
    std::vector<EntryRow> liveRows() const;

    /// @return liveRows() and the known row of @p peer even if that is dead: a host that started
    ///         anew with a lower incarnation learns from it that it must take a higher one.
    std::vector<EntryRow> rowsFor(const std::string &peer) const;

    /// @return the row of this host and those of rowsFor() that changed within NewsBeats.
    std::vector<EntryRow> newsFor(const std::string &peer) const;

    /// @return whether no row changed and no host died within NewsBeats.
    bool isSettled() const;

    /// @return whether @p control is a known host of the own region.
    bool isNear(const std::string &control) const;

    /// @return control addresses of the live hosts without this one.
    std::vector<std::string> livePeers() const;

    const EntryRow &self() const { return self_; }

    /// @return number of live hosts with this one.
    std::uint32_t liveCount() const;

private:
    struct Peer
    {
        EntryRow row;
        TimePoint heardAt;
        /// Heartbeat of this host when the row changed last, heartbeat and load aside.
        std::uint64_t changedAtBeat = 0;
        bool live = true;
    };

    bool mergeOne(const EntryRow &row, TimePoint now);
    bool isNews(const Peer &peer) const;

    EntryRow self_;
    std::chrono::milliseconds farDeadTime_;
    std::map<std::string, Peer> peers_;
};

/// Where a host learns what the platform's store holds.
struct StoreSource
{
    bool readsStore = false;
    /// Host whose copy is followed otherwise.
    std::string peer;

    bool operator==(const StoreSource &) const = default;
};

/// Decides where a host learns what the platform's store holds, so that the calls to the store do
/// not grow with the number of hosts. A few hosts read the store, one in each region if possible.
/// The others follow a host of their region, each at most StoreFollowers of them.
/// @param rows live hosts.
/// @param self control address of this host.
/// @return the source. A host that lost the store goes on trying, and another takes its turn.
StoreSource storeSourceOf(const std::vector<EntryRow> &rows, const std::string &self);

/// Hosts that read the store. Three let two be lost or cut off at the same time.
inline constexpr std::size_t StoreReaders = 3;
/// Hosts that follow one copy. A region of 1,000 hosts is then four steps deep.
inline constexpr std::size_t StoreFollowers = 8;

/// Hosts that carry the requests of callers while the load is low. Few hosts keep their connections
/// to upstreams in use, and learn sooner which upstreams are slow.
/// @param entries live hosts.
/// @return for each region the ready hosts that its callers are told of: two in each failure
/// domain,
///         the largest first, and more until twice the load of the region fits their capacity.
std::vector<EntryRow> activeEntries(const std::vector<EntryRow> &entries);

/// Chooses the hosts that a caller is told of.
/// @param entries live hosts.
/// @param callerRegion region of the caller.
/// @param servingRegions regions that hold the upstreams of what the caller asks for. A host that
/// is
///        far from them would fetch every part from another region for each request.
/// @param most largest number of hosts.
/// @return active hosts in the caller's region if that region serves; else those of the serving
///         regions; else all active ones. Hosts that only start are named when none is ready.
std::vector<EntryRow> chooseEntries(const std::vector<EntryRow> &entries,
                                    const std::string &callerRegion,
                                    const std::vector<std::string> &servingRegions,
                                    std::size_t most);

} // namespace persimmon::state
