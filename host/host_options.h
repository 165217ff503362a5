#pragma once

#include "coordination/coordination.h"
#include "forward/forward.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::host {

/// Settings of HostDaemon.
struct HostOptions
{
    std::string name;
    std::string failureDomain;
    std::string region;
    /// Listening address for requests of callers, as IP:port.
    std::string frontendAddress;
    /// Listening address for directory lookups, as IP:port.
    std::string directoryAddress;
    /// Listening address for readiness checks, as IP:port.
    std::string readinessAddress;
    /// Listening address for other hosts, as IP:port.
    std::string controlAddress;
    /// Possible listening addresses for requests that other hosts pass on, as IP:port; the first
    /// free one is used.
    std::vector<std::string> relayAddresses;
    /// Listening address for metrics, as IP:port; empty to disable.
    std::string metricsAddress;
    /// Control addresses of hosts to contact first.
    std::vector<std::string> seeds;
    std::map<std::string, std::string> regionByFailureDomain;
    state::SharedLimits limits;
    /// Tokens that the first attempt of each sub-request adds to the extra-load budget of its
    /// service.
    double retryRatio = 0.05;
    /// Time between the termination signal and the forced kill of the process.
    std::chrono::milliseconds gracePeriod{6000};
    /// CPU cores that this host may use.
    double cpuCores = 1;
    /// How long callers may cache a response of the directory.
    std::chrono::milliseconds directoryTtl{2000};
    /// Time after a restore of the store in which its writers write again what it lost.
    std::chrono::milliseconds reconcileTime = coordination::RecordFollowerOptions{}.reconcileTime;
    /// Longest time without an answer of the store to any host that does not count as its outage.
    std::chrono::milliseconds toleratedGap = coordination::RecordFollowerOptions{}.toleratedGap;
    /// Heartbeat timeout for hosts in other regions.
    std::chrono::milliseconds remoteHeartbeatTimeout =
            state::EntryMembership::RemoteHeartbeatTimeout;
};

/// A record of the store that is not relevant to this tier.
struct IgnoredRecord
{
};

/// A failure domain was evacuated or returned to service.
struct EvacuationRecord
{
    std::string failureDomain;
    bool evacuated = false;
};

/// An upstream was removed, or its record is invalid.
struct RemovedUpstream
{
    std::string id;
};

/// Decoded record of the store.
using DecodedRecord = std::variant<IgnoredRecord, state::RoutingConfig, state::UpstreamRecord,
                                   RemovedUpstream, EvacuationRecord>;

/// A caller's lookup of hosts to connect to.
struct LocateRequest
{
    /// Host name that the caller will request.
    std::string host;
    std::string region;
};

/// Callbacks that decode and encode the protocols of the deployment.
struct HostHooks
{
    coordination::StoreHooks store;
    std::function<DecodedRecord(const state::StoreRecord &)> decodeRecord;
    state::ContentVersionOf contentVersionOf;
    forward::HeaderNames headerNames;
    /// Parses the target of a directory lookup; returns std::nullopt for other targets.
    std::function<std::optional<LocateRequest>(const std::string &target)> parseLocateRequest;
    std::function<std::string(const std::vector<state::MemberState> &, std::chrono::milliseconds)>
            formatLocateResponse;
};

} // namespace persimmon::host
