#pragma once

#include "protocol/protocol.h"
#include "state/decaying_latency_histogram.h"
#include "state/gossip_table.h"
#include "state/host_share.h"
#include "state/token_bucket.h"
#include "state/upstream_notice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

/// What hosts tell each other about the restrictions of one upstream.
struct RestrictionReport
{
    std::string upstream;
    /// Start of the upstream's process.
    std::uint64_t incarnation = 0;
    /// Increases with each change that a host observes.
    std::uint32_t version = 0;
    /// Requests per second from all hosts; 0 for no limit.
    double requestLimit = 0;
    bool leaving = false;

    bool operator==(const RestrictionReport &) const = default;
};

/// The restrictions that upstreams have stated in their responses: a request limit that all hosts
/// share, a pause for this host, and their shutdown. Limits and shutdowns are gossiped. Every
/// request to an upstream counts towards its limit, whatever its kind. Not thread-safe.
class UpstreamRestrictions
{
public:
    /// A host that has heard an upstream itself within this time ignores its peers' reports.
    static constexpr std::chrono::seconds DirectTime{2};
    /// Time for which each message contains a change.
    static constexpr std::chrono::milliseconds PropagationTime{2500};
    /// Time after which the restrictions of an upstream that is not registered are removed.
    static constexpr std::chrono::seconds UnregisteredTime{60};
    /// Relative change of a limit that is reported to other hosts.
    static constexpr double ReportedChange = 0.1;
    /// Called after the restrictions of an upstream changed.
    /// @param source host that reported the change; "upstream" for the upstream itself.
    std::function<void(const RestrictionReport &report, const std::string &source)> onChange =
            [](const RestrictionReport & /*report*/, const std::string & /*source*/) {};
    /// Called after an upstream stated a pause.
    std::function<void(const std::string &upstream, Duration pause)> onPause =
            [](const std::string & /*upstream*/, Duration /*pause*/) {};

    /// Sets the share of this host in all limits.
    void setShare(const HostShare &share) { share_ = share; }

    /// Handles the registration of an upstream; a new incarnation has no restrictions.
    void onRegistered(const std::string &upstream, std::uint64_t incarnation, TimePoint now);

    /// Handles the removal of a registration. The restrictions stay in force for a time.
    void onUnregistered(const std::string &upstream, TimePoint now);

    /// Handles what an upstream said in its response to an attempt.
    /// @param startedAt start of the attempt. A response to an attempt that was started before the
    ///        last statement does not end a limit.
    void onNotice(const std::string &upstream, const UpstreamNotice &notice, TimePoint startedAt,
                  TimePoint now);

    /// @return when a request may be sent to the upstream: at the latest @p now if it may be sent
    ///         now, TimePoint::max() if it may not be sent at all.
    TimePoint nextStart(const std::string &upstream, protocol::Priority priority,
                        TimePoint now) const;

    /// Records that a request is sent.
    void onStarted(const std::string &upstream, TimePoint now);

    /// @return the requests per second that this host may send to a limited upstream.
    double ownRate(const std::string &upstream) const;

    bool isLimited(const std::string &upstream) const;
    bool isLeaving(const std::string &upstream) const;

    /// Merges the reports of a peer.
    void merge(const std::vector<RestrictionReport> &reports, const std::string &source,
               TimePoint now);

    /// Selects the reports for the next message.
    /// @param all whether the receiver is starting and needs all of them.
    std::vector<RestrictionReport> select(TimePoint now, bool all);

    /// Removes the restrictions of upstreams that have not been registered for UnregisteredTime.
    void expire(TimePoint now);

    std::size_t size() const { return upstreams_.size(); }

private:
    struct Upstream
    {
        RestrictionReport report;
        TokenBucket bucket;
        /// When the upstream last stated a restriction to this host.
        TimePoint heardAt = TimePoint::min();
        /// When the limit was last stated, also by a peer.
        TimePoint statedAt = TimePoint::min();
        TimePoint pausedUntil{};
        std::optional<TimePoint> unregisteredAt;
    };

    /// @return the requests per second that this host may send to the upstream.
    double rateOf(const Upstream &upstream) const;
    /// @return the restrictions of the registered incarnation of an upstream.
    Upstream &upstreamOf(const std::string &name, TimePoint now);
    void applyLimit(Upstream &upstream, double limit, TimePoint now);
    /// @return whether other hosts must hear of the restrictions of the upstream.
    bool isNews(const Upstream &upstream) const;
    void publish(Upstream &upstream, const std::string &source, TimePoint now);

    HostShare share_;
    /// Incarnations of the registered upstreams.
    std::map<std::string, std::uint64_t> registered_;
    std::map<std::string, Upstream> upstreams_;
    GossipTable<std::string, RestrictionReport> reports_;
};

} // namespace persimmon::state
