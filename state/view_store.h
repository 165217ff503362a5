#pragma once

#include "state/cluster_view.h"
#include "state/config_store.h"
#include "state/gossip_table.h"
#include "state/host_list.h"

#include <memory>

namespace persimmon::state {

/// Restore of a service from an older copy, as seen by a store.
struct RestoreEvent
{
    /// What the service serves.
    std::string source;
    /// Whether the state of the service was adopted; otherwise its new era was seen for the first
    /// time.
    bool isAdopted = false;
    protocol::HistoryPosition position;
};

/// Result of a merge.
struct ViewUpdate
{
    /// Whether the cluster view differs from the one before.
    bool changed = false;
    /// Accepted and rejected configuration changes.
    std::vector<ConfigChange> changes;
    std::vector<RestoreEvent> restores;
};

/// Cluster state of one process: configuration, host list, quarantine list, leaving hosts and entry
/// incarnations. Merges are idempotent and commutative.
class ViewStore
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    /// Minimum time between two requests for all entries, so that a lasting difference of digests
    /// does not cause a full transfer with each exchange.
    static constexpr std::chrono::seconds FullRequestInterval{10};
    /// A received expiry time replaces the known one only if it is later by more than this. Without
    /// the tolerance, transfer times would postpone the expiry with each exchange.
    static constexpr std::chrono::milliseconds ExpiryTolerance{1000};

    /// Propagation time of an entry that only starts a new epoch; messages of the host itself
    /// contain it for the default time. Every entry host starts an epoch every 5 minutes, and the
    /// two previous ones are still accepted, so that a host that misses the entry can wait for the
    /// rotation of the gossip table.
    static constexpr std::chrono::seconds EpochPropagationTime{2};

    /// Time after the first sight of a new era in which operators write again what the restored
    /// service has lost. Then its state is adopted.
    static constexpr std::chrono::seconds ReconcileDelay{5};

    /// Maximum confirmed age in a reply; also stands for a view that was never confirmed.
    static constexpr std::chrono::hours MaxReportedAge{1};

    /// @param host name of this host.
    explicit ViewStore(std::string host);

    /// Merges a reply of the configuration service. A reply below the known position comes from a
    /// stale replica and does not confirm the view.
    ViewUpdate applyConfig(const protocol::ConfigResponse &reply, TimePoint now);

    /// Merges a reply of the host list service; an older revision is ignored.
    ViewUpdate applyHosts(const protocol::HostsResponse &reply, TimePoint now);

    /// @return the request for the next exchange.
    protocol::ViewRequest makeRequest(TimePoint now);

    /// Merges the reply of a peer.
    /// @param sentAt time at which the request was sent; the confirmed age in the reply counts
    ///        from it.
    ViewUpdate applyReply(const protocol::ViewResponse &reply, TimePoint sentAt, TimePoint now);

    /// Merges the gossip entries in the request of a peer or a daemon.
    ViewUpdate applyRequest(const protocol::ViewRequest &request, TimePoint now);

    /// @return a reply with the changes that the sender of @p request lacks.
    protocol::ViewResponse makeReply(const protocol::ViewRequest &request, TimePoint now);

    ViewUpdate addQuarantine(std::uint64_t fingerprint, Duration duration, TimePoint now);
    ViewUpdate addLeaving(const std::string &host, std::uint64_t incarnation, Duration duration,
                          TimePoint now);
    /// Merges an incarnation; the higher version wins.
    ViewUpdate addIncarnation(const protocol::EntryIncarnation &entry, TimePoint now);

    /// Removes expired quarantine entries and leaving hosts.
    ViewUpdate expire(TimePoint now);

    /// Sets whether the view is complete, that is, the service or a ready peer has replied.
    void setReady(bool ready) { ready_ = ready; }
    bool isReady() const { return ready_; }

    /// @return whether both configuration and host list of the service have been merged.
    bool isComplete() const { return configConfirmedAt_ && hostsConfirmedAt_; }

    /// @return the time since the service last confirmed the view, directly or through peers;
    ///         Duration::max() if it never did.
    Duration confirmedAge(TimePoint now) const;

    /// @return the position from which to read the configuration; zero if a complete read is due
    ///         after a restore.
    protocol::HistoryPosition configReadPosition(TimePoint now) const;

    const ConfigStore &config() const { return config_; }
    /// @return the position from which to read the host list; zero if a complete read is due after
    ///         a restore.
    protocol::HistoryPosition hostsReadPosition(TimePoint now) const;

    std::uint64_t hostsRevision() const { return hosts_.revision(); }
    /// @return the version of the incarnation entry of @p host; 0 if unknown.
    std::uint64_t incarnationVersion(const std::string &host) const;

    /// @return the current view, rebuilt if something changed since the last call.
    std::shared_ptr<const ClusterView> view();

private:
    struct Quarantined
    {
        std::uint64_t fingerprint = 0;
        TimePoint expiresAt;
    };

    struct Leaving
    {
        std::string host;
        std::uint64_t incarnation = 0;
        TimePoint expiresAt;
    };

    template <typename Message>
    ViewUpdate mergeEntries(const Message &message, TimePoint now);
    template <typename Message>
    void writeEntries(Message &message, TimePoint now, bool all);
    /// @param entries entries that are complete if the state of the service is to be adopted.
    void mergeConfig(ViewUpdate &update, const std::vector<protocol::ConfigEntry> &entries,
                     bool adopts, std::string_view source);
    void advanceConfig(ViewUpdate &update, const protocol::HistoryPosition &position,
                       TimePoint now);
    void addConfig(protocol::ViewResponse &reply, const protocol::ViewRequest &request) const;
    bool isConfigAdoptionDue(TimePoint now) const;
    void addHosts(protocol::ViewResponse &reply, const protocol::ViewRequest &request) const;
    bool isHostsAdoptionDue(TimePoint now) const;
    /// Merges a whole list.
    void mergeHostList(ViewUpdate &update, const protocol::HistoryPosition &position,
                       const std::vector<protocol::HostRecord> &hosts, bool adopts, TimePoint now);
    void mergeHosts(ViewUpdate &update, const protocol::ViewResponse &reply, TimePoint now);
    ViewUpdate invalidateIfChanged(ViewUpdate update);
    void fillHosts(ClusterView &view);

    std::string host_;
    ConfigStore config_;
    HostList hosts_;
    /// Whether a delta did not match the peer's digest, so that the next request asks for the whole
    /// host list.
    bool needsFullHostList_ = false;
    GossipTable<std::uint64_t, Quarantined> quarantine_;
    GossipTable<std::string, Leaving> leaving_;
    GossipTable<std::string, protocol::EntryIncarnation> incarnations_;
    /// When the current era of the configuration was first seen.
    TimePoint configEraSeenAt_{};
    /// When the current era of the host list was first seen.
    TimePoint hostsEraSeenAt_{};
    std::optional<TimePoint> configConfirmedAt_;
    std::optional<TimePoint> hostsConfirmedAt_;
    std::optional<TimePoint> lastFullRequest_;
    bool digestsDiffer_ = false;
    bool ready_ = false;
    /// Last view built; its host maps are reused while the host list is unchanged.
    std::shared_ptr<const ClusterView> lastView_;
    protocol::HistoryPosition lastViewHosts_;
    std::uint64_t lastViewHostsDigest_ = 0;
    std::shared_ptr<const ClusterView> view_;
};

} // namespace persimmon::state
