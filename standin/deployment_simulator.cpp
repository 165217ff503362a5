#include "standin/deployment_simulator.h"

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

DeploymentSimulator::DeploymentSimulator(transport::Runtime &runtime, SimulatorSettings settings)
    : runtime_(runtime),
      settings_(std::move(settings))
{
}

Status<SimulatorError> DeploymentSimulator::start()
{
    auto deployment = loadDeployment(settings_.folder, settings_.network);
    if (!isOk(deployment))
        return errorOf(deployment);
    deployment_ = takeValue(deployment);
    store_ = std::make_unique<SimulatedPlatformStore>(deployment_);
    platform_ = std::make_unique<SimulatedPlatformService>(runtime_, *store_);
    const auto listening = platform_->start(settings_.platform);
    if (!isOk(listening))
        return SimulatorError{SimulatorErrorCode::BindFailed, errorOf(listening).message};
    for (const auto &host : deployment_.hosts) {
        if (host.kind != protocol::HostKind::Upstream)
            continue;
        const auto started = startUpstream(host);
        if (!isOk(started))
            return started;
    }
    return Ok{};
}

SimulatorResult<SimulatedUpstreamSettings>
DeploymentSimulator::makeUpstreamSettings(const protocol::HostRecord &host) const
{
    const auto group = groupOfService(deployment_, host.service);
    const auto capacity = deployment_.groups.find(group);
    const auto endpoint = transport::parseEndpoint(host.address);
    if (capacity == deployment_.groups.end() || !isOk(endpoint)) {
        return SimulatorError{
                SimulatorErrorCode::DeploymentInvalid,
                host.name + ": the service belongs to no group or the address is invalid"};
    }
    return SimulatedUpstreamSettings{host.name,
                                     host.service,
                                     group,
                                     host.failureDomain,
                                     valueOf(endpoint),
                                     capacity->second,
                                     settings_.serviceTime,
                                     settings_.serviceTimeSigma,
                                     settings_.seed};
}

Status<SimulatorError> DeploymentSimulator::startUpstream(const protocol::HostRecord &host)
{
    auto upstreamSettings = makeUpstreamSettings(host);
    if (!isOk(upstreamSettings))
        return errorOf(upstreamSettings);
    auto upstream =
            std::make_unique<SimulatedUpstream>(runtime_, takeValue(upstreamSettings), log_);
    for (const auto &snapshot : deployment_.indexes[upstream->settings().group].snapshots)
        upstream->addSnapshot(snapshot);
    if (settings_.cold)
        upstream->makeCold();
    const auto started = upstream->start();
    if (!isOk(started))
        return SimulatorError{SimulatorErrorCode::BindFailed, errorOf(started).message};
    upstreams_.push_back(std::move(upstream));
    return Ok{};
}

std::vector<SimulatedUpstream *> DeploymentSimulator::upstreams(const UpstreamFilter &filter)
{
    std::vector<SimulatedUpstream *> found;
    for (const auto &upstream : upstreams_) {
        if (filter(*upstream))
            found.push_back(upstream.get());
    }
    return found;
}

SimulatorResult<std::uint64_t>
DeploymentSimulator::publishSnapshot(const std::string &group,
                                     const std::vector<std::string> &services,
                                     std::chrono::milliseconds retention)
{
    const auto found = deployment_.indexes.find(group);
    if (found == deployment_.indexes.end())
        return SimulatorError{SimulatorErrorCode::CommandInvalid, "unknown group " + group};
    for (const auto &service : services) {
        // A service of an earlier shard map may be missing from the newest one, so the upstreams
        // are checked instead.
        const auto serving = upstreams([&](const SimulatedUpstream &upstream) {
            return upstream.settings().group == group && upstream.settings().service == service;
        });
        if (serving.empty())
            return SimulatorError{SimulatorErrorCode::CommandInvalid, "unknown service " + service};
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
    runAfter(retention, [this, group, id = next.id] { removeOlderSnapshots(group, id); });
    return next.id;
}

void DeploymentSimulator::removeOlderSnapshots(const std::string &group, std::uint64_t newest)
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

void DeploymentSimulator::runAfter(std::chrono::milliseconds delay, std::function<void()> action)
{
    runtime_.spawn([](transport::Runtime &runtime, std::chrono::milliseconds time,
                      std::function<void()> task) -> asio::awaitable<void> {
        co_await runtime.clock().sleep(time);
        task();
    }(runtime_, delay, std::move(action)));
}

} // namespace persimmon::standin
