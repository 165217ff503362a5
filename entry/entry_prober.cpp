#include "entry/entry_prober.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::entry {

namespace {

constexpr std::chrono::milliseconds ProbeInterval{500};
constexpr std::chrono::milliseconds ProbeTimeout{400};

/// A host is no longer probed if it has not been considered for an answer for this time.
constexpr std::chrono::seconds ProbeExpiry{10};

/// A single lost packet or slow answer must not make an entry unreachable.
constexpr int FailuresUntilUnreachable = 2;

/// Maximum number of hosts probed per interval, which bounds the load with thousands of entries.
constexpr std::size_t MaxProbesPerInterval = 16;

constexpr int HealthyStatus = 200;

} // namespace

EntryProber::EntryProber(transport::Runtime &runtime, EntryHooks hooks, std::string self,
                         std::uint16_t entryPort)
    : runtime_(runtime),
      hooks_(std::move(hooks)),
      self_(std::move(self)),
      entryPort_(entryPort)
{
}

bool EntryProber::isReachable(std::string_view host)
{
    if (host == self_)
        return true;
    const std::lock_guard lock(mutex_);
    auto &probe = probes_[std::string(host)];
    probe.lastConsidered = runtime_.clock().now();
    return probe.failures < FailuresUntilUnreachable;
}

asio::awaitable<void> EntryProber::watch(std::shared_ptr<EntryProber> self)
{
    while (!self->stopped_) {
        co_await self->runtime_.clock().sleep(ProbeInterval);
        for (auto &host : self->selectHostsToProbe())
            self->runtime_.spawn(probe(self, std::move(host)));
    }
}

std::vector<std::string> EntryProber::selectHostsToProbe()
{
    const auto now = runtime_.clock().now();
    const auto view = hooks_.currentView();
    const std::lock_guard lock(mutex_);
    if (view)
        markUnavailable(*view, now);
    std::erase_if(probes_, [&](const auto &entry) {
        return now - entry.second.lastConsidered > ProbeExpiry;
    });
    std::vector<std::string> hosts;
    for (const auto &[host, probe] : probes_)
        hosts.push_back(host);
    std::sort(hosts.begin(), hosts.end(), [this](const auto &left, const auto &right) {
        return probes_[left].lastProbed < probes_[right].lastProbed;
    });
    hosts.resize(std::min(hosts.size(), MaxProbesPerInterval));
    for (const auto &host : hosts)
        probes_[host].lastProbed = now;
    return hosts;
}

void EntryProber::markUnavailable(const state::ClusterView &view, transport::TimePoint now)
{
    for (const auto &[name, host] : view.entryHosts) {
        if (name != self_ && !view.isAvailable(host))
            probes_[name] = {now, now, FailuresUntilUnreachable};
    }
}

asio::awaitable<void> EntryProber::probe(std::shared_ptr<EntryProber> self, std::string host)
{
    const auto view = self->hooks_.currentView();
    if (!view || !view->entryHosts.contains(host))
        co_return;
    const auto endpoint = transport::parseEndpoint(view->entryHosts.at(host).address + ":"
                                                   + std::to_string(self->entryPort_));
    if (!isOk(endpoint))
        co_return;
    transport::HttpRequest request("GET", "/v1/health");
    const auto response = co_await transport::fetchOnce(self->runtime_, valueOf(endpoint),
                                                        std::move(request), ProbeTimeout);
    self->recordResult(host, isOk(response) && valueOf(response).status == HealthyStatus);
}

void EntryProber::recordResult(const std::string &host, bool answered)
{
    const std::lock_guard lock(mutex_);
    const auto found = probes_.find(host);
    if (found == probes_.end())
        return;
    found->second.failures = answered ? 0 : found->second.failures + 1;
}

} // namespace persimmon::entry
