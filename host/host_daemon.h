#pragma once

#include "host/caller_directory.h"
#include "host/host_options.h"
#include "host/record_applier.h"

#include <memory>
#include <random>
#include <set>
#include <string>

namespace persimmon::host {

/// Main object of an entry host. Serves requests of callers and directory lookups, replicates the
/// records of the store and exchanges membership with the other hosts. Requires a single-threaded
/// runtime and must outlive the runtime's handlers.
class HostDaemon
{
public:
    /// @param metrics metrics that GET /metrics returns; may include metrics of other components.
    HostDaemon(transport::Runtime &runtime, transport::Metrics &metrics, HostOptions options,
               HostHooks hooks);

    /// Opens all listeners and starts replication from the store and the other hosts.
    /// @return the first error, if a listener cannot be opened.
    Status<transport::TransportError> start();

    /// Applies changed seeds, limits and durations. Changes of addresses, the region or the failure
    /// domain require a restart.
    void reload(const HostOptions &options);

    /// Reports the host as not ready, completes active and late requests, and stops the runtime
    /// before the grace period expires.
    boost::asio::awaitable<void> shutDown();

private:
    forward::CrashGateHooks makeCrashGateHooks();
    forward::UpstreamPathHooks makeUpstreamPathHooks();
    forward::ForwarderOptions makeForwarderOptions();
    RecordApplier makeRecordApplier();
    void onRecordsChanged(const std::vector<state::StoreRecord> &records);
    void mergeRestrictions(const coordination::PeerMessage &message);
    void setRestrictionHooks();
    void logRestrictions(const state::RestrictionReport &report, const std::string &source);
    void mergeCrashReports(const std::vector<state::CrashReport> &reports);
    /// Tells peers of a new quarantine at once, unless they were told of another one just before.
    void announceQuarantine();
    void updateHostShare();
    void updateStoreReachability();
    void onUpstreamPathChanged();
    /// Opens the listener for requests that other hosts pass on. Without one, none are accepted.
    void listenForPeers();
    void updatePhase();
    void updateMembershipLoad();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<transport::HttpResponse> handleLocate(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> handleReadiness(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> handleMetrics(transport::HttpRequest request);
    void addGauges();

    transport::Runtime &runtime_;
    HostOptions options_;
    const HostHooks hooks_;
    transport::Metrics &metrics_;
    dispatch::DispatchMetrics dispatchMetrics_;
    dispatch::ServiceExecutorContext context_;
    state::UpstreamRegistry registry_;
    state::EntryMembership membership_;
    state::CrashEvidence crashes_;
    transport::TimePoint quarantineAnnouncedAt_{};
    forward::ForwardingClient forwardingClient_;
    forward::ServiceExecutors services_;
    forward::CrashGate crashGate_;
    std::mt19937_64 random_{std::random_device{}()};
    forward::UpstreamPathMonitor path_;
    forward::PeerRelay relay_;
    forward::RequestForwarder forwarder_;
    CallerDirectory callerDirectory_{membership_, registry_, forwarder_};
    coordination::RecordFollower follower_;
    coordination::PeerExchange exchange_;
    forward::FrontendServer frontendServer_;
    forward::FrontendServer relayServer_;
    transport::HttpServer directoryServer_;
    transport::HttpServer readinessServer_;
    transport::HttpServer metricsServer_;
    RecordApplier recordApplier_;
    bool leaving_ = false;
    std::uint64_t lastSubRequestCount_ = 0;
    transport::Duration bootClockOffset_{};
};

} // namespace persimmon::host
