#include "standin/stand_in.h"

namespace asio = boost::asio;

namespace persimmon::standin {

namespace {

std::vector<protocol::Shard> splitEqually(const std::vector<std::string> &services)
{
    std::vector<protocol::Shard> shards;
    const auto count = static_cast<std::uint32_t>(services.size());
    for (std::uint32_t i = 0; i < count; ++i) {
        shards.push_back({services[i], services[i], i * protocol::KeySpaceSize / count,
                          (i + 1) * protocol::KeySpaceSize / count});
    }
    return shards;
}

} // namespace

StandIn::StandIn(transport::Runtime &runtime, StandInSettings settings)
    : runtime_(runtime),
      settings_(std::move(settings))
{
}

Status<StandinError> StandIn::start()
{
    auto deployment = loadDeployment(settings_.folder, settings_.network);
    if (!isOk(deployment))
        return errorOf(deployment);
    deployment_ = takeValue(deployment);
    store_ = std::make_unique<PlatformStore>(deployment_);
    platform_ = std::make_unique<PlatformService>(runtime_, *store_);
    const auto listening = platform_->start(settings_.platform);
    if (!isOk(listening))
        return StandinError{StandinErrorCode::BindFailed, errorOf(listening).message};
    for (const auto &host : deployment_.hosts) {
        if (host.kind != protocol::HostKind::Upstream)
            continue;
        const auto started = startUpstream(host);
        if (!isOk(started))
            return started;
    }
    return Ok{};
}

StandinResult<UpstreamSettings> StandIn::describe(const protocol::HostRecord &host) const
{
    const auto group = groupOfService(deployment_, host.service);
    const auto capacity = deployment_.groups.find(group);
    const auto endpoint = transport::parseEndpoint(host.address);
    if (capacity == deployment_.groups.end() || !isOk(endpoint)) {
        return StandinError{StandinErrorCode::DeploymentInvalid,
                            host.name + " has no group or no valid address"};
    }
    return UpstreamSettings{host.name,
                            host.service,
                            group,
                            host.failureDomain,
                            valueOf(endpoint),
                            capacity->second,
                            settings_.serviceTime,
                            settings_.spread,
                            settings_.seed};
}

Status<StandinError> StandIn::startUpstream(const protocol::HostRecord &host)
{
    auto described = describe(host);
    if (!isOk(described))
        return errorOf(described);
    auto upstream = std::make_unique<Upstream>(runtime_, takeValue(described), log_);
    for (const auto &snapshot : deployment_.indexes[upstream->settings().group].snapshots)
        upstream->addSnapshot(snapshot);
    if (settings_.cold)
        upstream->makeCold();
    const auto started = upstream->start();
    if (!isOk(started))
        return StandinError{StandinErrorCode::BindFailed, errorOf(started).message};
    upstreams_.push_back(std::move(upstream));
    return Ok{};
}

std::vector<Upstream *> StandIn::upstreams(const UpstreamFilter &filter)
{
    std::vector<Upstream *> found;
    for (const auto &upstream : upstreams_) {
        if (filter(*upstream))
            found.push_back(upstream.get());
    }
    return found;
}

StandinResult<std::uint64_t> StandIn::publish(const std::string &group,
                                              const std::vector<std::string> &services,
                                              std::chrono::milliseconds keep)
{
    const auto found = deployment_.indexes.find(group);
    if (found == deployment_.indexes.end())
        return StandinError{StandinErrorCode::CommandInvalid, "unknown group " + group};
    for (const auto &service : services) {
        // The newest shard map may lack a service that an earlier one had.
        const auto serving = upstreams([&](const Upstream &upstream) {
            return upstream.settings().group == group && upstream.settings().service == service;
        });
        if (serving.empty())
            return StandinError{StandinErrorCode::CommandInvalid, "unknown service " + service};
    }
    auto &snapshots = found->second.snapshots;
    protocol::SnapshotMap next = snapshots.back();
    ++next.id;
    if (!services.empty())
        next.shards = splitEqually(services);
    snapshots.push_back(next);
    for (const auto &upstream : upstreams_) {
        if (upstream->settings().group == group)
            upstream->addSnapshot(next);
    }
    store_->set("index/" + group, protocol::formatConfigDocument(found->second));
    runLater(keep, [this, group, id = next.id] { removeOlder(group, id); });
    return next.id;
}

void StandIn::removeOlder(const std::string &group, std::uint64_t newest)
{
    auto &index = deployment_.indexes[group];
    const auto removed = std::erase_if(index.snapshots,
                                       [&](const auto &snapshot) { return snapshot.id < newest; });
    if (removed == 0)
        return;
    store_->set("index/" + group, protocol::formatConfigDocument(index));
    for (const auto &upstream : upstreams_) {
        if (upstream->settings().group == group)
            upstream->removeOlderSnapshots(newest);
    }
}

void StandIn::runLater(std::chrono::milliseconds delay, std::function<void()> action)
{
    runtime_.spawn([](transport::Runtime &runtime, std::chrono::milliseconds time,
                      std::function<void()> task) -> asio::awaitable<void> {
        co_await runtime.clock().sleep(time);
        task();
    }(runtime_, delay, std::move(action)));
}

} // namespace persimmon::standin
