#pragma once

#include "host/host_options.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::host {

/// Puts changed records of the store into force: configurations, registrations of upstreams and
/// evacuations. Logs each change of belief. Requires a single-threaded runtime.
class RecordApplier
{
public:
    /// Components that the records affect; they must outlive this object.
    struct Components
    {
        transport::Runtime &runtime;
        state::UpstreamRegistry &registry;
        forward::ServiceExecutors &services;
        forward::ForwardingClient &forwardingClient;
        forward::RequestForwarder &forwarder;
        const coordination::RecordFollower &follower;
        transport::Metrics &metrics;
    };

    using DecodeRecord = std::function<DecodedRecord(const state::StoreRecord &)>;
    /// Called with the limits of a new configuration before its routes are in force.
    using OnLimits = std::function<void(const state::CallerLimits &)>;

    RecordApplier(Components components, DecodeRecord decodeRecord, OnLimits onLimits)
        : components_(components),
          decodeRecord_(std::move(decodeRecord)),
          onLimits_(std::move(onLimits))
    {
    }

    void apply(const std::vector<state::StoreRecord> &records);

    /// Stops using removed upstreams whose grace period is over.
    void expire(transport::TimePoint now);

private:
    using Services = std::set<std::string>;

    void applyRecord(const state::RoutingConfig &config, Services &changedServices);
    void applyRecord(const state::UpstreamRecord &record, Services &changedServices);
    void applyRecord(const RemovedUpstream &removed, Services &changedServices);
    void applyRecord(const EvacuationRecord &record, Services &changedServices);
    void applyRecord(const IgnoredRecord & /*record*/, Services & /*changedServices*/) {}
    transport::Counter &removalCounter(const state::UpstreamRemoval &removal);
    /// Logs a decision with what it rests on.
    void logRemoval(const std::string &upstream, const state::UpstreamRemoval &removal) const;
    /// Logs a message with the position of the store's history.
    void log(std::string_view message, std::vector<transport::LogField> fields) const;

    const Components components_;
    const DecodeRecord decodeRecord_;
    const OnLimits onLimits_;
};

} // namespace persimmon::host
