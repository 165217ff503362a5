#pragma once

#include "coordination/coordination.h"
#include "forward/forward.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::host {

/// Settings of the program of one entry host.
struct HostOptions
{
    std::string name;
    std::string failureDomain;
    std::string region;
    /// Addresses for callers, for questions where to connect, for checks whether this host is
    /// ready, and for other hosts, as IP:port.
    std::string front;
    std::string directory;
    std::string ready;
    std::string control;
    /// Address of the metrics; empty for none.
    std::string metrics;
    std::vector<std::string> seeds;
    std::map<std::string, std::string> regionOfDomain;
    state::SharedLimits limits;
    /// Tokens that each first execution adds to the extra-load budget of its service.
    double retryRatio = 0.05;
    /// Time between the request to end and the kill.
    std::chrono::milliseconds grace{6000};
    /// Processor cores that this host may use.
    double cores = 1;
    /// Longest time that callers keep what the directory told them.
    std::chrono::milliseconds directoryTime{2000};
    /// Time after which a silent host in another region counts as dead.
    std::chrono::milliseconds farDeadTime = state::EntryMembership::FarDeadTime;
};

/// A key of the store that says nothing to this tier.
struct IgnoredRecord
{
};

/// A failure domain is taken out of service, or back in.
struct EvacuationRecord
{
    std::string failureDomain;
    bool evacuated = false;
};

/// An upstream is gone, or its record cannot be read.
struct UpstreamGone
{
    std::string id;
};

/// What a key of the store means.
using RecordMeaning = std::variant<IgnoredRecord, state::RoutingConfig, state::UpstreamRecord,
                                   UpstreamGone, EvacuationRecord>;

/// A caller's question where to connect.
struct LocateQuestion
{
    /// Host name that the caller will ask for.
    std::string host;
    std::string region;
};

/// What the deployment's protocols say, in the terms of this tier.
struct HostHooks
{
    coordination::StoreHooks store;
    std::function<RecordMeaning(const state::StoreRecord &)> interpret;
    forward::HeaderNames headers;
    /// @return the question in a request target, or nothing if it is none.
    std::function<std::optional<LocateQuestion>(const std::string &target)> readLocate;
    std::function<std::string(const std::vector<state::EntryRow> &, std::chrono::milliseconds)>
            formatLocate;
};

} // namespace persimmon::host
