#pragma once

#include "state/latency_record.h"

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

    bool operator==(const EntryRow &) const = default;
};

/// The hosts of the system by heartbeats that spread from host to host.
class EntryMembership
{
public:
    /// A host whose heartbeat stood still for this time counts as dead.
    static constexpr std::chrono::milliseconds DeadTime{3500};
    /// A dead host is forgotten after this time; until then its old rows cannot return.
    static constexpr std::chrono::seconds ForgetTime{60};

    explicit EntryMembership(EntryRow self);

    /// Advances the heartbeat of this host.
    void beat() { ++self_.heartbeat; }
    void setPhase(EntryPhase phase);

    /// Takes rows that a peer knows.
    /// @return whether a host appeared, changed its phase or started anew.
    bool merge(const std::vector<EntryRow> &rows, TimePoint now);

    /// Notes the hosts whose heartbeat stood still too long, and forgets old ones.
    /// @return whether a host was found dead.
    bool expire(TimePoint now);

    /// @return the rows of this host and of all live ones.
    std::vector<EntryRow> liveRows() const;

    /// @return liveRows() and the known row of @p peer even if that is dead: a host that started
    /// anew
    ///         with a lower incarnation learns from it that it must take a higher one.
    std::vector<EntryRow> rowsFor(const std::string &peer) const;

    /// @return control addresses of the live hosts without this one.
    std::vector<std::string> livePeers() const;

    const EntryRow &self() const { return self_; }

    /// @return number of live hosts with this one.
    std::uint32_t liveCount() const;

    /// @return position of this host among the live ones, in the order of their addresses.
    std::uint32_t position() const;

private:
    struct Peer
    {
        EntryRow row;
        TimePoint heardAt;
        bool live = true;
    };

    bool mergeOne(const EntryRow &row, TimePoint now);

    EntryRow self_;
    std::map<std::string, Peer> peers_;
};

/// Chooses the hosts that a caller is told of.
/// @param entries live hosts.
/// @param callerRegion region of the caller.
/// @param servingRegions regions that hold the upstreams of what the caller asks for. A host that
/// is
///        far from them would fetch every part from another region for each request.
/// @param most largest number of hosts.
/// @return ready hosts in the caller's region if that region serves; else those of the serving
///         regions; else all that are ready. Hosts that only start are named when none is ready.
std::vector<EntryRow> chooseEntries(const std::vector<EntryRow> &entries,
                                    const std::string &callerRegion,
                                    const std::vector<std::string> &servingRegions,
                                    std::size_t most);

} // namespace persimmon::state
