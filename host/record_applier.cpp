#include "host/record_applier.h"

namespace persimmon::host {

namespace {

constexpr const char *Part = "host";

} // namespace

void RecordApplier::apply(const std::vector<state::StoreRecord> &records)
{
    Services changedServices;
    for (const auto &record : records) {
        const auto decoded = decodeRecord_(record);
        std::visit([&](const auto &value) { applyRecord(value, changedServices); }, decoded);
    }
    components_.services.reconfigure(changedServices);
}

void RecordApplier::applyRecord(const state::RoutingConfig &config, Services & /*changedServices*/)
{
    const auto &current = components_.forwarder.routes();
    if (current && current->config().version >= config.version)
        return;
    const auto routes = std::make_shared<const state::RouteTable>(config);
    components_.services.setServices(config.services);
    onLimits_(config.limits);
    components_.forwarder.setRoutes(routes);
    log("configuration applied", {{"version", std::to_string(config.version)},
                                  {"routes", std::to_string(config.routes.size())}});
}

void RecordApplier::applyRecord(const state::UpstreamRecord &record, Services &changedServices)
{
    const auto now = components_.runtime.clock().now();
    changedServices.merge(components_.registry.update(record, now));
    components_.services.restrictions().onRegistered(record.id, record.incarnation, now);
    log("upstream updated", {{"upstream", record.id},
                             {"service", record.service},
                             {"state", record.draining ? "draining" : "ready"},
                             {"cold_ms", std::to_string(record.coldTimeLeft.count())}});
}

void RecordApplier::applyRecord(const RemovedUpstream &removed, Services &changedServices)
{
    components_.forwardingClient.closeIdleTo(removed.id);
    const auto now = components_.runtime.clock().now();
    components_.services.restrictions().onUnregistered(removed.id, now);
    auto &registry = components_.registry;
    const auto removal = registry.remove(removed.id, now, components_.follower.availability());
    if (!removal)
        return;
    removalCounter(*removal).add();
    logRemoval(removed.id, *removal);
    changedServices.insert(removal->service);
}

transport::Counter &RecordApplier::removalCounter(const state::UpstreamRemoval &removal)
{
    const auto reason = std::string(enumName(state::RemovalReasonNames, removal.reason));
    return components_.metrics.counter(
            "persimmon_upstream_removals_total", "Removed registrations of upstreams.",
            "reason=\"" + reason + "\",last_resort=\"" + (removal.isKept ? "yes" : "no") + "\"");
}

void RecordApplier::logRemoval(const std::string &upstream,
                               const state::UpstreamRemoval &removal) const
{
    const auto &follower = components_.follower;
    const auto &store = follower.availability();
    const auto &period = store.period();
    const auto now = components_.runtime.clock().now();
    const auto ageOf = [now](std::optional<transport::TimePoint> time) {
        if (!time)
            return std::string("unknown");
        return std::to_string(std::chrono::round<std::chrono::milliseconds>(now - *time).count());
    };
    const auto since = period ? std::optional(period->since) : std::nullopt;
    const auto until = period ? std::optional(period->until) : std::nullopt;
    const auto outageSince = period ? period->outageSince : std::nullopt;
    log("upstream removed",
        {{"upstream", upstream},
         {"service", removal.service},
         {"last_resort", removal.isKept ? "yes" : "no"},
         {"reason", std::string(enumName(state::RemovalReasonNames, removal.reason))},
         {"source", follower.recordSource().empty() ? "store" : follower.recordSource()},
         {"store_answers_since_ms", ageOf(since)},
         {"store_answered_ms", ageOf(until)},
         {"store_outage_since_ms", ageOf(outageSince)},
         {"own_answer_ms", ageOf(store.ownAnswerAt())}});
}

void RecordApplier::applyRecord(const EvacuationRecord &record, Services &changedServices)
{
    changedServices.merge(
            components_.registry.setEvacuated(record.failureDomain, record.evacuated));
    log("failure domain changed",
        {{"failure_domain", record.failureDomain}, {"evacuated", record.evacuated ? "yes" : "no"}});
}

void RecordApplier::expire(transport::TimePoint now)
{
    Services services;
    const auto &availability = components_.follower.availability();
    for (const auto &expired : components_.registry.expire(now, availability)) {
        services.insert(expired.service);
        const auto kept = std::chrono::round<std::chrono::milliseconds>(expired.keptFor);
        log("removed upstream is no longer used", {{"upstream", expired.id},
                                                   {"service", expired.service},
                                                   {"kept_ms", std::to_string(kept.count())}});
    }
    components_.services.reconfigure(services);
}

void RecordApplier::log(std::string_view message, std::vector<transport::LogField> fields) const
{
    const auto &position = components_.follower.mirror().position();
    fields.push_back({"era", std::to_string(position.era)});
    fields.push_back({"revision", std::to_string(position.revision)});
    transport::log(transport::LogLevel::Info, Part, message, fields);
}

} // namespace persimmon::host
