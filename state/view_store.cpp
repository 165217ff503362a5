#include "state/view_store.h"

#include <algorithm>
#include <utility>

namespace persimmon::state {

namespace {

std::chrono::milliseconds timeLeft(ViewStore::TimePoint expiresAt, ViewStore::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(expiresAt - now);
}

constexpr const char *ConfigSource = "configuration";
constexpr const char *HostsSource = "host list";

/// @return the entries of a restored service as written in @p era. Their revisions are below those
///         of all writes in that era.
std::vector<protocol::ConfigEntry> entriesOfEra(std::vector<protocol::ConfigEntry> entries,
                                                std::uint64_t era)
{
    for (auto &entry : entries)
        entry.era = era;
    return entries;
}

} // namespace

ViewStore::ViewStore(std::string host) : host_(std::move(host)) {}

ViewUpdate ViewStore::invalidateIfChanged(ViewUpdate update)
{
    if (update.changed)
        view_.reset();
    return update;
}

ViewUpdate ViewStore::applyConfig(const protocol::ConfigResponse &reply, TimePoint now)
{
    ViewUpdate update;
    const bool isCurrent = reply.position() >= config_.position();
    if (isCurrent)
        configConfirmedAt_ = now;
    advanceConfig(update, reply.position(), now);
    const bool adopts = isCurrent && reply.isComplete && isConfigAdoptionDue(now);
    mergeConfig(update, adopts ? entriesOfEra(reply.entries, reply.era) : reply.entries, adopts,
                "service");
    return invalidateIfChanged(std::move(update));
}

void ViewStore::advanceConfig(ViewUpdate &update, const protocol::HistoryPosition &position,
                              TimePoint now)
{
    // A peer that knows nothing yet states no position.
    if (position.revision == 0)
        return;
    const auto known = config_.position();
    update.changed |= position > known;
    if (position.era > known.era) {
        configEraSeenAt_ = now;
        if (known.era > 0)
            update.restores.push_back({ConfigSource, false, position});
    }
    config_.advanceTo(position);
}

void ViewStore::mergeConfig(ViewUpdate &update, const std::vector<protocol::ConfigEntry> &entries,
                            bool adopts, std::string_view source)
{
    update.changes = adopts ? config_.reconcile(entries, source) : config_.merge(entries, source);
    update.changed |= !update.changes.empty();
    if (adopts)
        update.restores.push_back({ConfigSource, true, config_.position()});
}

bool ViewStore::isConfigAdoptionDue(TimePoint now) const
{
    return !config_.isReconciled() && now - configEraSeenAt_ >= ReconcileDelay;
}

protocol::HistoryPosition ViewStore::configReadPosition(TimePoint now) const
{
    return isConfigAdoptionDue(now) ? protocol::HistoryPosition{} : config_.position();
}

ViewUpdate ViewStore::applyHosts(const protocol::HostsResponse &reply, TimePoint now)
{
    ViewUpdate update;
    if (reply.position() >= hosts_.position())
        hostsConfirmedAt_ = now;
    if (reply.hosts) {
        const bool adopts = reply.era == hosts_.position().era && isHostsAdoptionDue(now);
        mergeHostList(update, reply.position(), *reply.hosts, adopts, now);
    }
    return invalidateIfChanged(std::move(update));
}

bool ViewStore::isHostsAdoptionDue(TimePoint now) const
{
    return !hosts_.isReconciled() && now - hostsEraSeenAt_ >= ReconcileDelay;
}

protocol::HistoryPosition ViewStore::hostsReadPosition(TimePoint now) const
{
    return isHostsAdoptionDue(now) ? protocol::HistoryPosition{} : hosts_.position();
}

void ViewStore::mergeHostList(ViewUpdate &update, const protocol::HistoryPosition &position,
                              const std::vector<protocol::HostRecord> &hosts, bool adopts,
                              TimePoint now)
{
    const auto known = hosts_.position();
    if (position.era > known.era) {
        hostsEraSeenAt_ = now;
        if (known.era > 0)
            update.restores.push_back({HostsSource, false, position});
    }
    const bool merged = adopts ? hosts_.adopt(position, hosts) : hosts_.replace(position, hosts);
    update.changed |= merged;
    if (adopts && merged && position.era > 1)
        update.restores.push_back({HostsSource, true, position});
}

void ViewStore::mergeHosts(ViewUpdate &update, const protocol::ViewResponse &reply, TimePoint now)
{
    const auto position = reply.hostsPosition();
    const bool isSameEra = position.era == hosts_.position().era;
    // The responder may still keep hosts that the service has lost.
    if (isSameEra && hosts_.isReconciled() && !reply.hostsReconciled)
        return;
    if (reply.hosts) {
        const bool adopts = reply.hostsReconciled && (!isSameEra || !hosts_.isReconciled());
        mergeHostList(update, position, *reply.hosts, adopts, now);
        return;
    }
    if (!reply.hostsDelta || position <= hosts_.position())
        return;
    const bool merged = hosts_.apply(position, *reply.hostsDelta, reply.hostsDigest);
    needsFullHostList_ = !merged;
    update.changed |= merged;
}

template <typename Message>
void ViewStore::writeEntries(Message &message, TimePoint now, bool all)
{
    // Omits entries that are about to expire, so that no host adds them again after their expiry.
    for (const auto &entry : quarantine_.select(now, all)) {
        if (entry.expiresAt - now > ExpiryTolerance)
            message.quarantine.push_back({entry.fingerprint, timeLeft(entry.expiresAt, now)});
    }
    for (const auto &entry : leaving_.select(now, all)) {
        if (entry.expiresAt - now > ExpiryTolerance)
            message.leaving.push_back(
                    {entry.host, entry.incarnation, timeLeft(entry.expiresAt, now)});
    }
    message.incarnations = incarnations_.select(now, all);
}

template <typename Message>
ViewUpdate ViewStore::mergeEntries(const Message &message, TimePoint now)
{
    ViewUpdate update;
    for (const auto &entry : message.quarantine)
        update.changed |= addQuarantine(entry.fingerprint, entry.expiresIn, now).changed;
    for (const auto &entry : message.leaving)
        update.changed |= addLeaving(entry.host, entry.incarnation, entry.expiresIn, now).changed;
    for (const auto &entry : message.incarnations)
        update.changed |= addIncarnation(entry, now).changed;
    return update;
}

protocol::ViewRequest ViewStore::makeRequest(TimePoint now)
{
    protocol::ViewRequest request;
    request.host = host_;
    request.configRevision = config_.revision();
    request.configDigest = config_.digest();
    request.configEra = protocol::statedEra(config_.position());
    request.configReconciled = config_.isReconciled();
    request.hostsEra = protocol::statedEra(hosts_.position());
    request.hostsReconciled = hosts_.isReconciled();
    request.hostsRevision = std::exchange(needsFullHostList_, false) ? 0 : hosts_.revision();
    request.wantAll =
            digestsDiffer_ && (!lastFullRequest_ || now - *lastFullRequest_ >= FullRequestInterval);
    if (request.wantAll)
        lastFullRequest_ = now;
    writeEntries(request, now, false);
    return request;
}

ViewUpdate ViewStore::applyReply(const protocol::ViewResponse &reply, TimePoint sentAt,
                                 TimePoint now)
{
    const auto configPosition = reply.configPosition();
    const bool isCurrent = configPosition >= config_.position()
                           && reply.hostsPosition() >= hosts_.position() && reply.ready;
    auto update = mergeEntries(reply, now);
    advanceConfig(update, configPosition, now);
    const bool adopts = reply.configComplete && reply.configReconciled && !config_.isReconciled()
                        && configPosition.era == config_.position().era;
    mergeConfig(update, reply.entries, adopts, reply.host);
    mergeHosts(update, reply, now);
    digestsDiffer_ = configPosition == config_.position() && reply.configDigest != config_.digest();
    const bool hasHosts = hosts_.position() >= reply.hostsPosition();
    if (isCurrent && hasHosts && reply.confirmedAge < MaxReportedAge) {
        const auto confirmedAt = sentAt - reply.confirmedAge;
        configConfirmedAt_ = std::max(configConfirmedAt_.value_or(confirmedAt), confirmedAt);
        hostsConfirmedAt_ = std::max(hostsConfirmedAt_.value_or(confirmedAt), confirmedAt);
    }
    return invalidateIfChanged(std::move(update));
}

ViewUpdate ViewStore::applyRequest(const protocol::ViewRequest &request, TimePoint now)
{
    return invalidateIfChanged(mergeEntries(request, now));
}

protocol::ViewResponse ViewStore::makeReply(const protocol::ViewRequest &request, TimePoint now)
{
    protocol::ViewResponse reply;
    reply.host = host_;
    addConfig(reply, request);
    addHosts(reply, request);
    writeEntries(reply, now, request.hostsRevision == 0);
    std::erase_if(reply.incarnations, [&](const auto &entry) {
        return std::find(request.incarnations.begin(), request.incarnations.end(), entry)
               != request.incarnations.end();
    });
    reply.confirmedAge = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::min<Duration>(confirmedAge(now), MaxReportedAge));
    reply.ready = ready_;
    return reply;
}

void ViewStore::addConfig(protocol::ViewResponse &reply, const protocol::ViewRequest &request) const
{
    reply.configRevision = config_.revision();
    reply.configEra = protocol::statedEra(config_.position());
    reply.configReconciled = config_.isReconciled();
    reply.configDigest = config_.digest();
    const bool isSameEra = request.configEra == reply.configEra;
    const bool canAdopt = isSameEra && reply.configReconciled && !request.configReconciled;
    if (!request.wantAll && !canAdopt && request.configDigest == reply.configDigest)
        return;
    // Across eras, and while entries of an earlier one are kept, the requester may lack entries
    // below its position.
    reply.configComplete = request.wantAll || canAdopt || !isSameEra || !config_.isReconciled();
    reply.entries = config_.entriesSince(reply.configComplete ? protocol::HistoryPosition{}
                                                              : request.configPosition());
}

void ViewStore::addHosts(protocol::ViewResponse &reply, const protocol::ViewRequest &request) const
{
    reply.hostsRevision = hosts_.revision();
    reply.hostsEra = protocol::statedEra(hosts_.position());
    reply.hostsReconciled = hosts_.isReconciled();
    reply.hostsDigest = hosts_.digest();
    const auto position = reply.hostsPosition();
    const bool canAdopt = request.hostsEra == reply.hostsEra && reply.hostsReconciled
                          && !request.hostsReconciled && position >= request.hostsPosition();
    if (canAdopt) {
        reply.hosts = hosts_.all();
        return;
    }
    if (position <= request.hostsPosition())
        return;
    reply.hostsDelta = hosts_.since(request.hostsPosition());
    if (!reply.hostsDelta)
        reply.hosts = hosts_.all();
}

ViewUpdate ViewStore::addQuarantine(std::uint64_t fingerprint, Duration duration, TimePoint now)
{
    const auto expiresAt = now + duration;
    const auto *known = quarantine_.find(fingerprint);
    if (known != nullptr && expiresAt <= known->expiresAt + ExpiryTolerance)
        return {};
    const bool isNew = known == nullptr;
    quarantine_.put(fingerprint, {fingerprint, expiresAt}, now);
    return invalidateIfChanged({isNew, {}, {}});
}

ViewUpdate ViewStore::addLeaving(const std::string &host, std::uint64_t incarnation,
                                 Duration duration, TimePoint now)
{
    const auto expiresAt = now + duration;
    if (const auto *known = leaving_.find(host)) {
        const bool isSame = known->incarnation == incarnation;
        const Duration tolerance = isSame ? Duration(ExpiryTolerance) : Duration::zero();
        if (expiresAt <= known->expiresAt + tolerance)
            return {};
    }
    leaving_.put(host, {host, incarnation, expiresAt}, now);
    return invalidateIfChanged({true, {}, {}});
}

ViewUpdate ViewStore::addIncarnation(const protocol::EntryIncarnation &entry, TimePoint now)
{
    const auto *known = incarnations_.find(entry.host);
    if (known != nullptr && entry.version <= known->version)
        return {};
    const bool isEpoch = known != nullptr && known->incarnation == entry.incarnation;
    const bool isOwn = entry.host == host_;
    incarnations_.put(entry.host, entry, now,
                      isEpoch && !isOwn ? EpochPropagationTime
                                        : decltype(incarnations_)::PropagationTime);
    return invalidateIfChanged({true, {}, {}});
}

std::uint64_t ViewStore::incarnationVersion(const std::string &host) const
{
    const auto *entry = incarnations_.find(host);
    return entry == nullptr ? 0 : entry->version;
}

ViewUpdate ViewStore::expire(TimePoint now)
{
    const auto isExpired = [now](const auto &entry) { return entry.expiresAt <= now; };
    const bool quarantineChanged = quarantine_.eraseIf(isExpired);
    const bool leavingChanged = leaving_.eraseIf(isExpired);
    return invalidateIfChanged({quarantineChanged || leavingChanged, {}, {}});
}

ViewStore::Duration ViewStore::confirmedAge(TimePoint now) const
{
    if (!isComplete())
        return Duration::max();
    return now - std::min(*configConfirmedAt_, *hostsConfirmedAt_);
}

void ViewStore::fillHosts(ClusterView &view)
{
    if (lastView_ && lastViewHosts_ == hosts_.position()
        && lastViewHostsDigest_ == hosts_.digest()) {
        view.entryHosts = lastView_->entryHosts;
        view.upstreams = lastView_->upstreams;
        return;
    }
    // The list is sorted by name, and so are the upstreams of each service.
    hosts_.forEach([&](const auto &host) {
        if (host.kind == protocol::HostKind::Entry)
            view.entryHosts[host.name] = host;
        else
            view.upstreams[host.service].push_back(host);
    });
}

std::shared_ptr<const ClusterView> ViewStore::view()
{
    if (view_)
        return view_;
    const auto view = std::make_shared<ClusterView>();
    config_.writeTo(*view);
    fillHosts(*view);
    quarantine_.forEach([&](const auto &entry) { view->quarantined.insert(entry.fingerprint); });
    incarnations_.forEach([&](const auto &entry) { view->incarnations[entry.host] = entry; });
    leaving_.forEach([&](const auto &entry) {
        // A restarted host has another incarnation and is no longer leaving.
        const auto known = view->incarnations.find(entry.host);
        if (known == view->incarnations.end() || known->second.incarnation == entry.incarnation)
            view->leavingHosts.insert(entry.host);
    });
    view_ = view;
    lastView_ = view;
    lastViewHosts_ = hosts_.position();
    lastViewHostsDigest_ = hosts_.digest();
    return view_;
}

} // namespace persimmon::state
