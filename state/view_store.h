#pragma once

#include "state/cluster_view.h"
#include "state/config_store.h"
#include "state/gossip_table.h"
#include "state/host_list.h"

#include <memory>

namespace persimmon::state {

/// What a merge changed.
struct ViewUpdate
{
    /// Whether the cluster view differs from the one before.
    bool changed = false;
    std::vector<ConfigChange> changes;
};

/// All that one process knows of the cluster: configuration, host list, quarantine list, leaving
/// hosts and entry incarnations. Merges are idempotent and independent of their order.
class ViewStore
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    /// Least time between two requests for every entry, so that a lasting difference of digests
    /// does not cost a whole transfer with each exchange.
    static constexpr std::chrono::seconds FullRequestInterval{10};
    /// A received expiry counts only when it is later than the known one by this much. Without it
    /// the transfer times would postpone the expiry with each exchange.
    static constexpr std::chrono::milliseconds ExpiryTolerance{1000};

    /// A reply states at most this age; it also stands for a view that was never confirmed.
    static constexpr std::chrono::hours UnconfirmedAge{1};

    /// @param host name of this host.
    explicit ViewStore(std::string host);

    /// Merges an answer of the configuration service. An answer below the known revision comes from
    /// a stale replica and confirms nothing.
    ViewUpdate applyConfig(const protocol::ConfigReply &reply, TimePoint now);

    /// Merges an answer of the host list; an older revision is ignored.
    ViewUpdate applyHosts(const protocol::HostsReply &reply, TimePoint now);

    /// @return the request for the next exchange.
    protocol::ViewRequest makeRequest(TimePoint now);

    /// Merges the reply to a request.
    /// @param sentAt time at which the request was sent.
    ViewUpdate applyReply(const protocol::ViewReply &reply, TimePoint sentAt, TimePoint now);

    /// Merges the rows that the request of a peer or a daemon carries.
    ViewUpdate applyRequest(const protocol::ViewRequest &request, TimePoint now);

    /// @return what the sender of @p request lacks.
    protocol::ViewReply makeReply(const protocol::ViewRequest &request, TimePoint now);

    ViewUpdate addQuarantine(std::uint64_t fingerprint, Duration duration, TimePoint now);
    ViewUpdate addLeaving(const std::string &host, std::uint64_t incarnation, Duration duration,
                          TimePoint now);
    /// Merges one row by its version.
    ViewUpdate addIncarnation(const protocol::EntryIncarnation &row, TimePoint now);

    /// Removes expired rows.
    ViewUpdate expire(TimePoint now);

    /// States that the view is complete, because the service or a ready peer has answered.
    void setReady(bool ready) { ready_ = ready; }
    bool isReady() const { return ready_; }

    /// @return whether both configuration and host list of the service have been merged.
    bool isComplete() const { return configConfirmedAt_ && hostsConfirmedAt_; }

    /// @return age of the last confirmation by the service, directly or through peers; the largest
    ///         duration when there was none.
    Duration confirmedAge(TimePoint now) const;

    const ConfigStore &config() const { return config_; }
    std::uint64_t hostsRevision() const { return hosts_.revision(); }
    /// @return version of the incarnation row of @p host; 0 when unknown.
    std::uint64_t incarnationVersion(const std::string &host) const;

    /// @return the current view, built when something changed since the last call.
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
    ViewUpdate mergeRows(const Message &message, TimePoint now);
    template <typename Message>
    void writeRows(Message &message, TimePoint now, bool all);
    bool mergeHosts(const protocol::ViewReply &reply);
    ViewUpdate finish(ViewUpdate update);
    void shareHosts(ClusterView &view);

    std::string host_;
    ConfigStore config_;
    HostList hosts_;
    /// Whether a delta did not lead to the answerer's list, so that the next request asks for all.
    bool hostsDiffer_ = false;
    GossipTable<std::uint64_t, Quarantined> quarantine_;
    GossipTable<std::string, Leaving> leaving_;
    GossipTable<std::string, protocol::EntryIncarnation> incarnations_;
    std::optional<TimePoint> configConfirmedAt_;
    std::optional<TimePoint> hostsConfirmedAt_;
    std::optional<TimePoint> lastFullRequest_;
    bool digestsDiffer_ = false;
    bool ready_ = false;
    /// View whose maps of hosts belong to hostsRevision().
    std::shared_ptr<const ClusterView> lastView_;
    std::uint64_t lastViewHosts_ = 0;
    std::shared_ptr<const ClusterView> view_;
};

} // namespace persimmon::state
