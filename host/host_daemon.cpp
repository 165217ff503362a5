#include "host/host_daemon.h"

#include <algorithm>
#include <ctime>

namespace asio = boost::asio;

namespace persimmon::host {

namespace {

constexpr const char *Part = "host";
constexpr std::chrono::milliseconds TickInterval{250};
/// Hosts that one answer of the directory names at most.
constexpr std::size_t DirectoryLimit = 64;
/// After the request to end, idle connections of callers stay open this part of the grace time.
constexpr double IdlePartOfGrace = 0.6;
/// Part of the grace time after which the program ends in any case.
constexpr double LongestPartOfGrace = 0.92;
/// Sub-requests per second that one core executes; docs/CAPACITY.md has the measurement.
constexpr double SubRequestsPerCore = 8000;
/// Ticks between two looks at the load.
constexpr int TicksPerLoad = 4;
/// A tick that comes this much too late means that the process did not run.
constexpr std::chrono::milliseconds PauseLimit{1000};

/// @return time since the boot of the machine, pauses included, less the steady clock, which may
///         not count them.
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

state::EntryRow makeRow(const HostOptions &options)
{
    state::EntryRow row;
    row.control = options.control;
    row.front = options.front;
    row.failureDomain = options.failureDomain;
    row.region = options.region;
    row.incarnation = makeIncarnation();
    row.capacity = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>(options.cores * SubRequestsPerCore));
    return row;
}

forward::ForwarderOptions forwarderOptions(const HostOptions &options, const HostHooks &hooks)
{
    forward::ForwarderOptions result;
    result.names = hooks.headers;
    result.extraLoad = options.retryRatio;
    return result;
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
      registry_(options_.regionOfDomain),
      membership_(makeRow(options_), options_.farDeadTime),
      pool_(runtime, metrics_, hooks_.headers),
      services_(context_, registry_, options_.limits),
      forwarder_(runtime, metrics_, pool_, services_, forwarderOptions(options_, hooks_)),
      follower_(runtime, hooks_.store,
                {[this] { return state::storeSourceOf(membership_.liveRows(), options_.control); },
                 [this](std::string peer, std::uint64_t after, std::chrono::milliseconds wait) {
                     return exchange_.watchPeer(std::move(peer), after, wait);
                 }},
                [this](const auto &news) { onNews(news); }),
      exchange_(runtime, membership_, follower_, [this] { onMembership(); }),
      front_(runtime, hooks_.headers,
             [this](auto request, auto watch) {
                 return forwarder_.serve(std::move(request), std::move(watch));
             }),
      directory_(
              runtime,
              [this](transport::HttpRequest request) { return answerLocate(std::move(request)); }),
      ready_(runtime,
             [this](transport::HttpRequest request) { return answerReady(std::move(request)); }),
      metricsServer_(runtime, [this](transport::HttpRequest request) {
          return answerMetrics(std::move(request));
      })
{
    exchange_.setSeeds(options_.seeds);
    onMembership();
    addGauges();
}

Status<transport::TransportError> HostDaemon::start()
{
    const auto listen = [](auto &server, const std::string &address) {
        const auto endpoint = transport::parseEndpoint(address);
        return isOk(endpoint) ? server.listen(valueOf(endpoint)) : endpoint;
    };
    std::vector<transport::TransportResult<transport::Endpoint>> results;
    results.push_back(listen(front_, options_.front));
    results.push_back(listen(directory_, options_.directory));
    results.push_back(listen(ready_, options_.ready));
    results.push_back(listen(exchange_, options_.control));
    if (!options_.metrics.empty())
        results.push_back(listen(metricsServer_, options_.metrics));
    for (const auto &result : results) {
        if (!isOk(result))
            return errorOf(result);
    }
    clockOffset_ = bootClockOffset(runtime_.clock().now());
    follower_.start();
    exchange_.start();
    runtime_.spawn(tick());
    transport::logInfo(Part, "started",
                       {{"host", options_.name},
                        {"failure_domain", options_.failureDomain},
                        {"incarnation", std::to_string(membership_.self().incarnation)},
                        {"front", options_.front}});
    return Ok{};
}

void HostDaemon::reload(const HostOptions &options)
{
    options_.seeds = options.seeds;
    options_.limits = options.limits;
    options_.retryRatio = options.retryRatio;
    options_.grace = options.grace;
    options_.directoryTime = options.directoryTime;
    exchange_.setSeeds(options_.seeds);
    services_.setLimits(options_.limits);
    forwarder_.setExtraLoad(options_.retryRatio);
    transport::logInfo(Part, "settings reloaded",
                       {{"seeds", std::to_string(options_.seeds.size())},
                        {"retry_burst", std::to_string(options_.limits.retryBurst)},
                        {"retry_ratio", std::to_string(options_.retryRatio)},
                        {"grace_ms", std::to_string(options_.grace.count())}});
}

void HostDaemon::onNews(const std::vector<state::StoreRecord> &news)
{
    std::set<std::string> changed;
    for (const auto &record : news) {
        const auto meaning = hooks_.interpret(record);
        std::visit([&](const auto &known) { take(known, changed); }, meaning);
    }
    services_.refresh(changed);
    updatePhase();
    exchange_.wakeWatchers();
}

void HostDaemon::take(const state::RoutingConfig &config, std::set<std::string> & /*changed*/)
{
    const auto &current = forwarder_.routes();
    if (current && current->config().version >= config.version)
        return;
    const auto routes = std::make_shared<const state::RouteTable>(config);
    services_.setServices(config.services);
    front_.setLimits(config.limits);
    forwarder_.setRoutes(routes);
    transport::logInfo(Part, "configuration in force",
                       {{"version", std::to_string(config.version)},
                        {"routes", std::to_string(config.routes.size())},
                        {"revision", std::to_string(follower_.mirror().revision())}});
}

void HostDaemon::take(const state::UpstreamRecord &record, std::set<std::string> &changed)
{
    changed.merge(registry_.update(record, runtime_.clock().now()));
    transport::logInfo(Part, "upstream changed",
                       {{"upstream", record.id},
                        {"service", record.service},
                        {"state", record.draining ? "draining" : "ready"},
                        {"cold_ms", std::to_string(record.coldLeft.count())},
                        {"revision", std::to_string(follower_.mirror().revision())}});
}

void HostDaemon::take(const UpstreamGone &gone, std::set<std::string> &changed)
{
    const auto services = registry_.remove(gone.id, runtime_.clock().now());
    if (services.empty())
        return;
    transport::logInfo(Part, "upstream gone",
                       {{"upstream", gone.id},
                        {"service", *services.begin()},
                        {"revision", std::to_string(follower_.mirror().revision())}});
    changed.insert(services.begin(), services.end());
}

void HostDaemon::take(const EvacuationRecord &record, std::set<std::string> &changed)
{
    changed.merge(registry_.setEvacuated(record.failureDomain, record.evacuated));
    transport::logInfo(Part, "failure domain changed",
                       {{"failure_domain", record.failureDomain},
                        {"evacuated", record.evacuated ? "yes" : "no"},
                        {"revision", std::to_string(follower_.mirror().revision())}});
}

void HostDaemon::onMembership()
{
    const auto active = state::activeEntries(membership_.liveRows());
    state::HostShare share;
    share.hosts = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(active.size()));
    share.position.reset();
    for (std::size_t index = 0; index < active.size(); ++index) {
        if (active[index].control == options_.control)
            share.position = static_cast<std::uint32_t>(index);
    }
    share.region = options_.region;
    services_.setShare(share);
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
    onMembership();
}

asio::awaitable<void> HostDaemon::tick()
{
    auto last = runtime_.clock().now();
    int ticks = 0;
    while (true) {
        co_await runtime_.clock().sleep(TickInterval);
        const auto now = runtime_.clock().now();
        const auto offset = bootClockOffset(now);
        const auto pause = (now - last - TickInterval) + (offset - clockOffset_);
        if (pause > PauseLimit) {
            // What the connections carried meanwhile is old, and others may have closed them.
            const auto milliseconds = std::chrono::round<std::chrono::milliseconds>(pause);
            transport::logWarning(Part, "the process did not run; connections are opened anew",
                                  {{"ms", std::to_string(milliseconds.count())}});
            pool_.closeIdle();
            hooks_.store.reset();
            membership_.onPause(now);
        }
        clockOffset_ = offset;
        last = now;
        services_.refresh(registry_.expire(now));
        exchange_.expire();
        membership_.setStoreLost(follower_.isStoreLost());
        if (++ticks % TicksPerLoad == 0)
            updateLoad();
    }
}

void HostDaemon::updateLoad()
{
    const auto started = forwarder_.subRequests();
    constexpr auto Interval = std::chrono::duration<double>(TickInterval * TicksPerLoad);
    const auto rate = static_cast<double>(started - countedSubRequests_) / Interval.count();
    countedSubRequests_ = started;
    membership_.setLoad(static_cast<std::uint32_t>(rate));
    // The set of active hosts follows the load.
    onMembership();
}

std::vector<std::string> HostDaemon::servingRegions(const std::string &host) const
{
    std::map<std::string, std::size_t> shards;
    std::size_t total = 0;
    if (!forwarder_.routes())
        return {};
    for (const auto *route : forwarder_.routes()->routesOf(host)) {
        for (const auto &shard : route->gather.shards) {
            ++total;
            for (const auto &region : registry_.regionsOf(shard))
                ++shards[region];
        }
    }
    std::vector<std::string> regions;
    for (const auto &[region, count] : shards) {
        if (count * 2 >= total)
            regions.push_back(region);
    }
    return regions;
}

asio::awaitable<transport::HttpResponse> HostDaemon::answerLocate(transport::HttpRequest request)
{
    const auto question = hooks_.readLocate(request.target);
    if (!question)
        co_return transport::HttpResponse(404, "{}");
    const auto entries = state::chooseEntries(membership_.liveRows(), question->region,
                                              servingRegions(question->host), DirectoryLimit);
    co_return transport::HttpResponse(200, hooks_.formatLocate(entries, options_.directoryTime));
}

asio::awaitable<transport::HttpResponse> HostDaemon::answerReady(transport::HttpRequest /*request*/)
{
    const bool ready = membership_.self().phase == state::EntryPhase::Ready;
    co_return transport::HttpResponse(ready ? 200 : 503, "{}");
}

asio::awaitable<transport::HttpResponse>
HostDaemon::answerMetrics(transport::HttpRequest /*request*/)
{
    co_return transport::HttpResponse(200, metrics_.format(), "text/plain; version=0.0.4");
}

void HostDaemon::addGauges()
{
    metrics_.gauge("persimmon_active_requests", "Requests of callers without an answer.",
                   [this] { return static_cast<double>(front_.active()); });
    metrics_.gauge("persimmon_caller_connections", "Open connections of callers.",
                   [this] { return static_cast<double>(front_.connections()); });
    metrics_.gauge("persimmon_live_hosts", "Hosts that are live, this one included.",
                   [this] { return static_cast<double>(membership_.liveCount()); });
    metrics_.gauge("persimmon_known_upstreams", "Upstreams that are known.",
                   [this] { return static_cast<double>(registry_.size()); });
    metrics_.gauge("persimmon_store_revision", "Revision up to which the store is known.",
                   [this] { return static_cast<double>(follower_.mirror().revision()); });
    metrics_.gauge("persimmon_config_version", "Version of the configuration in force.", [this] {
        const auto &routes = forwarder_.routes();
        return routes ? static_cast<double>(routes->config().version) : 0.0;
    });
}

asio::awaitable<void> HostDaemon::shutDown()
{
    leaving_ = true;
    transport::logInfo(Part, "stopping", {{"active", std::to_string(front_.active())}});
    updatePhase();
    const auto grace = std::chrono::duration<double>(options_.grace);
    co_await front_.drain(
            std::chrono::duration_cast<transport::Duration>(grace * IdlePartOfGrace),
            std::chrono::duration_cast<transport::Duration>(grace * LongestPartOfGrace));
    transport::logInfo(Part, "stopped", {{"active", std::to_string(front_.active())}});
    runtime_.requestStop();
}

} // namespace persimmon::host
