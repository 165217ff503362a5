#include "host/host_daemon.h"

#include <algorithm>
#include <ctime>

namespace asio = boost::asio;

namespace persimmon::host {

namespace {

constexpr const char *Part = "host";
constexpr std::chrono::milliseconds TickInterval{250};
constexpr std::chrono::milliseconds StopPollInterval{20};
/// Fraction of the grace period for which idle connections of callers stay open during shutdown.
constexpr double IdleGraceFraction = 0.6;
/// Fraction of the grace period after which all requests are answered.
constexpr double FinishGraceFraction = 0.86;
/// Fraction of the grace period after which the process exits even if requests are active.
constexpr double MaxGraceFraction = 0.92;
/// Sub-requests per second that one core executes; see docs/CAPACITY.md.
constexpr double SubRequestsPerCore = 8000;
/// Ticks between two updates of the load.
constexpr int TicksPerLoadUpdate = 4;
/// A tick that is delayed by more than this time means that the process was suspended.
constexpr std::chrono::milliseconds SuspendThreshold{1000};

/// @return the difference between the time since boot, which includes system suspends, and the
///         steady clock, which may exclude them.
transport::Duration bootClockOffset(transport::TimePoint steady)
{
    timespec boot{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot);
    return std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec)
           - steady.time_since_epoch();
}

std::uint64_t makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

state::MemberState makeMemberState(const HostOptions &options)
{
    state::MemberState member;
    member.control = options.controlAddress;
    member.front = options.frontendAddress;
    member.failureDomain = options.failureDomain;
    member.region = options.region;
    member.incarnation = makeIncarnation();
    member.capacity = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>(options.cpuCores * SubRequestsPerCore));
    return member;
}

/// @return the limits for requests with the fields that hosts add for each other.
state::CallerLimits withPeerFields(state::CallerLimits limits)
{
    constexpr std::uint32_t PeerFieldBytes = 256;
    limits.headerBytes += PeerFieldBytes;
    return limits;
}

} // namespace

HostDaemon::HostDaemon(transport::Runtime &runtime, transport::Metrics &metrics,
                       HostOptions options, HostHooks hooks)
    : runtime_(runtime),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      dispatchMetrics_(metrics_),
      context_{runtime_, dispatchMetrics_, [](std::uint64_t) {}},
      registry_(options_.regionByFailureDomain),
      membership_(makeMemberState(options_), options_.remoteHeartbeatTimeout),
      forwardingClient_(runtime, metrics_, hooks_.headerNames),
      services_(context_, registry_, options_.limits),
      crashGate_(runtime, crashes_, makeCrashGateHooks()),
      path_(runtime, metrics_, forwardingClient_, makeUpstreamPathHooks()),
      relay_(runtime, metrics_, hooks_.headerNames, [this] { return membership_.liveMembers(); }),
      forwarder_(runtime, metrics_, forwardingClient_, services_, crashGate_, path_, relay_,
                 makeForwarderOptions()),
      follower_(runtime, hooks_.store,
                {[this] { return membership_.storeSource(runtime_.clock().now()); },
                 [this](std::string peer, state::StorePosition after) {
                     return exchange_.watchPeer(std::move(peer), after);
                 },
                 [this] { exchange_.resetPeerWatch(); },
                 [this](const std::string &peer) {
                     membership_.suspect(peer, runtime_.clock().now());
                 },
                 [this] { updateStoreReachability(); }, [this] { exchange_.announce(); }},
                {options_.reconcileTime, options_.toleratedGap, hooks_.contentVersionOf},
                [this](const auto &records) { onRecordsChanged(records); }),
      exchange_(runtime, membership_, follower_,
                [this] {
                    updateHostShare();
                    follower_.checkSource();
                },
                {[this](coordination::PeerMessage &message, bool all) {
                     const auto now = runtime_.clock().now();
                     message.crashReports = crashes_.select(now, all);
                     message.restrictions = services_.restrictions().select(now, all);
                 },
                 [this](const coordination::PeerMessage &message) {
                     mergeCrashReports(message.crashReports);
                     mergeRestrictions(message);
                 }}),
      frontendServer_(runtime, hooks_.headerNames,
                      [this](auto request, auto monitor) {
                          return forwarder_.serve(std::move(request), std::move(monitor));
                      }),
      relayServer_(
              runtime, hooks_.headerNames,
              [this](auto request, auto monitor) {
                  return forwarder_.serve(std::move(request), std::move(monitor));
              },
              forward::RequestSource::Peer),
      directoryServer_(
              runtime,
              [this](transport::HttpRequest request) { return handleLocate(std::move(request)); }),
      readinessServer_(runtime,
                       [this](transport::HttpRequest request) {
                           return handleReadiness(std::move(request));
                       }),
      metricsServer_(
              runtime,
              [this](transport::HttpRequest request) { return handleMetrics(std::move(request)); }),
      recordApplier_(makeRecordApplier())
{
    exchange_.setSeeds(options_.seeds);
    setRestrictionHooks();
    updateHostShare();
    addGauges();
}

RecordApplier HostDaemon::makeRecordApplier()
{
    const RecordApplier::Components components{runtime_,   registry_, services_, forwardingClient_,
                                               forwarder_, follower_, metrics_};
    return {components, hooks_.decodeRecord, [this](const state::CallerLimits &limits) {
                frontendServer_.setLimits(limits);
                relayServer_.setLimits(withPeerFields(limits));
            }};
}

forward::CrashGateHooks HostDaemon::makeCrashGateHooks()
{
    forward::CrashGateHooks hooks;
    hooks.incarnationOf = [this](const std::string &upstream) {
        return registry_.incarnationOf(upstream);
    };
    hooks.onQuarantined = [this] { announceQuarantine(); };
    return hooks;
}

forward::UpstreamPathHooks HostDaemon::makeUpstreamPathHooks()
{
    forward::UpstreamPathHooks hooks;
    hooks.upstreamCount = [this] { return registry_.usableCount(); };
    hooks.sampleUpstreams = [this](std::size_t count) {
        return registry_.sampleUpstreams(count, random_);
    };
    hooks.onChange = [this] { onUpstreamPathChanged(); };
    hooks.onStillLost = [this] { forwarder_.passOnWaiting(); };
    return hooks;
}

forward::ForwarderOptions HostDaemon::makeForwarderOptions()
{
    forward::ForwarderOptions result;
    result.names = hooks_.headerNames;
    result.extraLoadTokens = options_.retryRatio;
    result.regionOf = [this](const std::string &domain) {
        const auto found = options_.regionByFailureDomain.find(domain);
        return found == options_.regionByFailureDomain.end() ? std::string() : found->second;
    };
    return result;
}

Status<transport::TransportError> HostDaemon::start()
{
    const auto listen = [](auto &server, const std::string &address) {
        const auto endpoint = transport::parseEndpoint(address);
        return isOk(endpoint) ? server.listen(valueOf(endpoint)) : endpoint;
    };
    std::vector<transport::TransportResult<transport::Endpoint>> results;
    results.push_back(listen(frontendServer_, options_.frontendAddress));
    results.push_back(listen(directoryServer_, options_.directoryAddress));
    results.push_back(listen(readinessServer_, options_.readinessAddress));
    results.push_back(listen(exchange_, options_.controlAddress));
    if (!options_.metricsAddress.empty())
        results.push_back(listen(metricsServer_, options_.metricsAddress));
    for (const auto &result : results) {
        if (!isOk(result))
            return errorOf(result);
    }
    listenForPeers();
    bootClockOffset_ = bootClockOffset(runtime_.clock().now());
    follower_.start();
    exchange_.start();
    path_.start();
    runtime_.spawn(tick());
    transport::logInfo(Part, "started",
                       {{"host", options_.name},
                        {"failure_domain", options_.failureDomain},
                        {"incarnation", std::to_string(membership_.self().incarnation)},
                        {"front", options_.frontendAddress}});
    return Ok{};
}

void HostDaemon::listenForPeers()
{
    for (const auto &address : options_.relayAddresses) {
        const auto endpoint = transport::parseEndpoint(address);
        const auto bound = isOk(endpoint) ? relayServer_.listen(valueOf(endpoint)) : endpoint;
        if (isOk(bound)) {
            membership_.setRelay(transport::formatEndpoint(valueOf(bound)));
            return;
        }
        transport::logWarning(Part, "cannot listen for requests of other hosts",
                              {{"address", address}, {"reason", errorOf(bound).message}});
    }
}

void HostDaemon::reload(const HostOptions &options)
{
    options_.seeds = options.seeds;
    options_.limits = options.limits;
    options_.retryRatio = options.retryRatio;
    options_.gracePeriod = options.gracePeriod;
    options_.directoryTtl = options.directoryTtl;
    exchange_.setSeeds(options_.seeds);
    services_.setLimits(options_.limits);
    forwarder_.setExtraLoadTokens(options_.retryRatio);
    transport::logInfo(Part, "settings reloaded",
                       {{"seeds", std::to_string(options_.seeds.size())},
                        {"retry_burst", std::to_string(options_.limits.retryBurst)},
                        {"retry_ratio", std::to_string(options_.retryRatio)},
                        {"grace_ms", std::to_string(options_.gracePeriod.count())}});
}

void HostDaemon::onRecordsChanged(const std::vector<state::StoreRecord> &records)
{
    recordApplier_.apply(records);
    updatePhase();
    exchange_.wakeWatchers();
}

void HostDaemon::mergeRestrictions(const coordination::PeerMessage &message)
{
    const auto source = message.members.empty() ? "peer" : message.members.front().control;
    services_.restrictions().merge(message.restrictions, source, runtime_.clock().now());
}

void HostDaemon::setRestrictionHooks()
{
    auto &restrictions = services_.restrictions();
    restrictions.onChange = [this](const state::RestrictionReport &report,
                                   const std::string &source) { logRestrictions(report, source); };
    restrictions.onPause = [](const std::string &upstream, state::Duration pause) {
        const auto milliseconds = std::chrono::round<std::chrono::milliseconds>(pause);
        transport::logInfo(Part, "upstream stated a pause",
                           {{"upstream", upstream}, {"ms", std::to_string(milliseconds.count())}});
    };
}

void HostDaemon::logRestrictions(const state::RestrictionReport &report, const std::string &source)
{
    transport::logInfo(
            Part, "restrictions of an upstream changed",
            {{"upstream", report.upstream},
             {"limit_per_s", std::to_string(report.requestLimit)},
             {"own_share_per_s", std::to_string(services_.restrictions().ownRate(report.upstream))},
             {"leaving", report.leaving ? "yes" : "no"},
             {"version", std::to_string(report.version)},
             {"source", source}});
}

void HostDaemon::mergeCrashReports(const std::vector<state::CrashReport> &reports)
{
    const auto quarantined = crashes_.merge(reports, runtime_.clock().now());
    for (const auto fingerprint : quarantined) {
        transport::logWarning(Part, "quarantined a request that crashed upstreams of peers",
                              {{"fingerprint", state::formatFingerprint(fingerprint)}});
    }
    if (!quarantined.empty())
        announceQuarantine();
}

void HostDaemon::announceQuarantine()
{
    const auto now = runtime_.clock().now();
    // The exchanges of each round tell the others soon enough where quarantines come in series.
    if (now - quarantineAnnouncedAt_ < coordination::PeerExchange::RoundInterval)
        return;
    quarantineAnnouncedAt_ = now;
    exchange_.announce();
}

void HostDaemon::updateHostShare()
{
    const auto active = state::selectActiveEntries(membership_.liveMembers());
    state::HostShare share;
    share.hosts = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(active.size()));
    share.position.reset();
    for (std::size_t index = 0; index < active.size(); ++index) {
        if (active[index].control == options_.controlAddress)
            share.position = static_cast<std::uint32_t>(index);
    }
    share.region = options_.region;
    services_.setShare(share);
}

void HostDaemon::updateStoreReachability()
{
    if (membership_.setStoreUnreachable(follower_.isStoreUnreachable()))
        exchange_.announce();
}

void HostDaemon::onUpstreamPathChanged()
{
    if (membership_.setUpstreamsUnreachable(path_.isLost()))
        exchange_.announce();
    updateHostShare();
}

void HostDaemon::updatePhase()
{
    const bool canServe = forwarder_.routes() != nullptr && follower_.isLoaded();
    const auto phase = leaving_   ? state::EntryPhase::Leaving
                       : canServe ? state::EntryPhase::Ready
                                  : state::EntryPhase::Starting;
    if (phase == membership_.self().phase)
        return;
    membership_.setPhase(phase);
    transport::logInfo(Part, "phase changed",
                       {{"phase", std::string(enumName(state::EntryPhaseNames, phase))}});
    exchange_.announce();
    updateHostShare();
}

asio::awaitable<void> HostDaemon::tick()
{
    auto last = runtime_.clock().now();
    int ticks = 0;
    while (true) {
        co_await runtime_.clock().sleep(TickInterval);
        const auto now = runtime_.clock().now();
        const auto offset = bootClockOffset(now);
        const auto suspended = (now - last - TickInterval) + (offset - bootClockOffset_);
        if (suspended > SuspendThreshold) {
            // Data received during the suspension is outdated, and peers may have closed the
            // connections.
            const auto milliseconds = std::chrono::round<std::chrono::milliseconds>(suspended);
            transport::logWarning(Part, "process was suspended; reopening connections",
                                  {{"ms", std::to_string(milliseconds.count())}});
            forwardingClient_.closeIdle();
            hooks_.store.reset();
            membership_.onPause(now);
            follower_.resetAvailability();
        }
        bootClockOffset_ = offset;
        last = now;
        recordApplier_.expire(now);
        exchange_.expire();
        crashes_.expire(now);
        services_.restrictions().expire(now);
        if (++ticks % TicksPerLoadUpdate == 0)
            updateMembershipLoad();
    }
}

void HostDaemon::updateMembershipLoad()
{
    const auto started = forwarder_.subRequestCount();
    constexpr auto Interval = std::chrono::duration<double>(TickInterval * TicksPerLoadUpdate);
    const auto rate = static_cast<double>(started - lastSubRequestCount_) / Interval.count();
    lastSubRequestCount_ = started;
    membership_.setLoad(static_cast<std::uint32_t>(rate));
    // The set of active hosts depends on the load.
    updateHostShare();
}

asio::awaitable<transport::HttpResponse> HostDaemon::handleLocate(transport::HttpRequest request)
{
    const auto lookup = hooks_.parseLocateRequest(request.target);
    if (!lookup)
        co_return transport::HttpResponse(404, "{}");
    const auto entries = callerDirectory_.select(*lookup);
    co_return transport::HttpResponse(200,
                                      hooks_.formatLocateResponse(entries, options_.directoryTtl));
}

asio::awaitable<transport::HttpResponse>
HostDaemon::handleReadiness(transport::HttpRequest /*request*/)
{
    const bool ready = membership_.self().phase == state::EntryPhase::Ready;
    co_return transport::HttpResponse(ready ? 200 : 503, "{}");
}

asio::awaitable<transport::HttpResponse>
HostDaemon::handleMetrics(transport::HttpRequest /*request*/)
{
    co_return transport::HttpResponse(200, metrics_.format(), "text/plain; version=0.0.4");
}

void HostDaemon::addGauges()
{
    metrics_.gauge("persimmon_active_requests", "Caller requests in progress.",
                   [this] { return static_cast<double>(frontendServer_.activeRequestCount()); });
    metrics_.gauge("persimmon_caller_connections", "Open connections of callers.",
                   [this] { return static_cast<double>(frontendServer_.connectionCount()); });
    metrics_.gauge("persimmon_live_hosts", "Live hosts, including this host.",
                   [this] { return static_cast<double>(membership_.liveCount()); });
    metrics_.gauge("persimmon_suspected_requests",
                   "Fingerprints of requests under which upstreams ended.",
                   [this] { return static_cast<double>(crashes_.fingerprintCount()); });
    metrics_.gauge("persimmon_known_upstreams", "Registered upstreams.",
                   [this] { return static_cast<double>(registry_.size()); });
    metrics_.gauge("persimmon_removed_upstreams",
                   "Upstreams without a registration that are still used as a last resort.",
                   [this] { return static_cast<double>(registry_.removedCount()); });
    metrics_.gauge("persimmon_store_revision", "Store revision up to which records are replicated.",
                   [this] { return static_cast<double>(follower_.mirror().position().revision); });
    metrics_.gauge("persimmon_store_era", "Era of the store whose records are replicated.",
                   [this] { return static_cast<double>(follower_.mirror().position().era); });
    metrics_.gauge("persimmon_config_version", "Version of the active configuration.", [this] {
        const auto &routes = forwarder_.routes();
        return routes ? static_cast<double>(routes->config().version) : 0.0;
    });
}

asio::awaitable<void> HostDaemon::shutDown()
{
    leaving_ = true;
    transport::logInfo(Part, "stopping",
                       {{"active", std::to_string(frontendServer_.activeRequestCount())}});
    updatePhase();
    const auto partOfGrace = [this](double fraction) {
        const auto gracePeriod = std::chrono::duration<double>(options_.gracePeriod);
        return std::chrono::duration_cast<transport::Duration>(gracePeriod * fraction);
    };
    forwarder_.finishBy(runtime_.clock().now() + partOfGrace(FinishGraceFraction));
    runtime_.spawn(
            relayServer_.drain(partOfGrace(IdleGraceFraction), partOfGrace(MaxGraceFraction)));
    const auto end = runtime_.clock().now() + partOfGrace(MaxGraceFraction);
    co_await frontendServer_.drain(partOfGrace(IdleGraceFraction), partOfGrace(MaxGraceFraction));
    while (relayServer_.activeRequestCount() > 0 && runtime_.clock().now() < end)
        co_await runtime_.clock().sleep(StopPollInterval);
    transport::logInfo(Part, "stopped",
                       {{"active", std::to_string(frontendServer_.activeRequestCount())}});
    runtime_.requestStop();
}

} // namespace persimmon::host
