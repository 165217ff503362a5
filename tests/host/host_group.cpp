#include "tests/host/host_group.h"

#include "tests/support/free_port.h"
#include "tests/support/header_names.h"

#include <atomic>
#include <sstream>
#include <thread>

namespace asio = boost::asio;

namespace persimmon::tests {

namespace {

using std::chrono::milliseconds;

constexpr const char *ConfigKey = "config";
constexpr const char *HostName = "h.example";
constexpr milliseconds PollInterval{20};

const std::map<std::string, std::string> ServiceOf{{"a1", "shard-a"}, {"a2", "shard-a"},
                                                   {"b1", "shard-b"}, {"b2", "shard-b"},
                                                   {"p1", "pay"},     {"p2", "pay"}};

std::string loopbackAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

int portOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

std::string httpGet(const std::string &address, const std::string &target)
{
    const RawCaller caller(portOf(address));
    caller.send("GET " + target + " HTTP/1.1\r\nHost: " + HostName + "\r\n\r\n");
    return caller.receive(std::chrono::seconds(2));
}

state::Route makeRoute(const std::string &name, const std::string &prefix)
{
    state::Route route;
    route.name = name;
    route.host = HostName;
    route.prefix = prefix;
    route.timeout = HostGroup::RouteTimeout;
    route.goal = milliseconds(500);
    route.upstreamLimit = 2;
    return route;
}

state::RoutingConfig makeConfig(bool older)
{
    state::RoutingConfig config;
    config.version = older ? 1 : 2;
    auto single = makeRoute("single", "/one/");
    single.targets = {{"pay", 1}};
    auto once = makeRoute("once", "/pay/");
    once.targets = {{"pay", 1}};
    once.idempotent = false;
    auto gather = makeRoute("gather", "/g/");
    gather.gather.shards = {"shard-a", "shard-b"};
    gather.gather.topRecords = 2;
    gather.gather.minFraction = 1;
    config.routes = {single, once, gather};
    if (older)
        return config;
    auto added = single;
    added.name = "added";
    added.prefix = "/new/";
    config.routes.push_back(added);
    return config;
}

} // namespace

struct HostGroup::Host
{
    int number = 0;
    host::HostOptions options;
    std::map<std::string, std::unique_ptr<FaultProxy>> proxies;
    std::unique_ptr<transport::Runtime> runtime = std::make_unique<transport::Runtime>(1);
    transport::Metrics metrics;
    std::unique_ptr<host::HostDaemon> daemon;
};

HostGroup::HostGroup(int hostCount, RequestHandler handler, int olderHost)
    : handler_(std::move(handler)),
      olderHost_(olderHost)
{
    records_.push_back({ConfigKey, 1, ConfigKey});
    for (const auto &[id, service] : ServiceOf) {
        upstreams_[id] = std::make_unique<RawUpstream>(
                [this, id = id](const std::string &request) { return handleRequest(id, request); });
        records_.push_back({id, records_.size() + 1, service});
    }
    for (int number = 1; number <= hostCount; ++number)
        controlAddresses_.push_back(loopbackAddress(allocatePort()));
    for (int number = 1; number <= hostCount; ++number)
        startHost(number, hostCount);
}

HostGroup::~HostGroup()
{
    for (const auto &[number, host] : hosts_)
        host->runtime->stop();
}

void HostGroup::startHost(int number, int hostCount)
{
    auto host = std::make_unique<Host>();
    host->number = number;
    auto &options = host->options;
    options.name = "host" + std::to_string(number);
    options.failureDomain = "z" + std::to_string(number);
    options.region = "r";
    options.frontendAddress = loopbackAddress(allocatePort());
    options.directoryAddress = loopbackAddress(allocatePort());
    options.readinessAddress = loopbackAddress(allocatePort());
    options.metricsAddress = loopbackAddress(allocatePort());
    options.controlAddress = controlAddresses_.at(static_cast<std::size_t>(number - 1));
    options.relayAddresses = {loopbackAddress(0)};
    options.seeds = controlAddresses_;
    options.gracePeriod = milliseconds(3000);
    options.limits = {50, 1, 0};
    options.retryRatio = 0.2;
    for (int domain = 1; domain <= hostCount; ++domain)
        options.regionByFailureDomain["z" + std::to_string(domain)] = "r";
    for (const auto &[id, upstream] : upstreams_)
        host->proxies[id] = std::make_unique<FaultProxy>(upstream->address());
    host->daemon = std::make_unique<host::HostDaemon>(*host->runtime, host->metrics, options,
                                                      makeHooks(*host));
    host->daemon->start();
    host->runtime->start();
    hosts_[number] = std::move(host);
}

host::HostHooks HostGroup::makeHooks(Host &host)
{
    host::HostHooks hooks;
    hooks.headerNames = makeNames();
    hooks.store.readPage = [this](std::string /*after*/)
            -> asio::awaitable<Result<coordination::StorePage, coordination::StoreFailure>> {
        coordination::StorePage page;
        page.items = records_;
        page.asOf = {1, records_.size()};
        co_return page;
    };
    hooks.store.watch = [this, runtime = host.runtime.get()](std::uint64_t /*after*/,
                                                             milliseconds wait)
            -> asio::awaitable<Result<coordination::StoreChanges, coordination::StoreFailure>> {
        co_await runtime->clock().sleep(wait);
        coordination::StoreChanges changes;
        changes.asOf = {1, records_.size()};
        co_return changes;
    };
    hooks.store.reset = [] {};
    hooks.contentVersionOf = [](const state::StoreRecord & /*record*/) {
        return std::optional<state::ContentVersion>();
    };
    const bool older = host.number == olderHost_;
    hooks.decodeRecord = [&host, older](const state::StoreRecord &record) -> host::DecodedRecord {
        if (record.key == ConfigKey)
            return makeConfig(older);
        state::UpstreamRecord upstream;
        upstream.id = record.key;
        upstream.service = *record.value;
        upstream.address = host.proxies.at(record.key)->address();
        upstream.failureDomain = "z1";
        upstream.slots = 4;
        upstream.incarnation = 1;
        return upstream;
    };
    hooks.parseLocateRequest = [](const std::string & /*target*/) {
        return std::optional(host::LocateRequest{HostName, "r"});
    };
    hooks.formatLocateResponse = [](const std::vector<state::MemberState> &entries,
                                    milliseconds /*ttl*/) {
        std::string text;
        for (const auto &entry : entries)
            text.append(entry.front).append(" ");
        return text;
    };
    return hooks;
}

RawResponse HostGroup::handleRequest(const std::string &id, const std::string &request)
{
    const auto requestId = fieldOf(request, "X-Id");
    if (fieldOf(request, "X-Instance") != id)
        return {makeResponse("", "", "X-Not-Run: 1\r\n", 421)};
    {
        const std::lock_guard lock(mutex_);
        ++executions_[{requestId, id}];
    }
    if (handler_)
        return handler_(id, request);
    const auto fields = "X-Id: " + requestId + "\r\n";
    RawResponse response{
            makeResponse(std::string(state::RecordBytes, id.front()), ServiceOf.at(id), fields)};
    response.delay = milliseconds(3);
    return response;
}

void HostGroup::setPath(int host, ProxyMode mode)
{
    for (const auto &[id, proxy] : hosts_.at(host)->proxies)
        proxy->setMode(mode);
}

std::string HostGroup::makeRequest(const std::string &target, const std::string &method,
                                   milliseconds timeLeft)
{
    static std::atomic<int> count = 0;
    return method + " " + target + " HTTP/1.1\r\nHost: " + HostName + "\r\nX-Id: q"
           + std::to_string(++count) + "\r\nX-Left: " + std::to_string(timeLeft.count())
           + "\r\nContent-Length: 0\r\n\r\n";
}

std::string HostGroup::call(int host, const std::string &target, const std::string &method)
{
    const RawCaller caller(frontPort(host));
    caller.send(makeRequest(target, method));
    return caller.receive();
}

void HostGroup::stopHost(int host)
{
    auto &stopped = *hosts_.at(host);
    stopped.runtime->spawn(stopped.daemon->shutDown());
}

void HostGroup::killHost(int host)
{
    hosts_.at(host)->runtime->stop();
    hosts_.erase(host);
}

int HostGroup::frontPort(int host) const
{
    return portOf(frontAddress(host));
}

const std::string &HostGroup::frontAddress(int host) const
{
    return hosts_.at(host)->options.frontendAddress;
}

std::string HostGroup::locate(int host) const
{
    return bodyOf(httpGet(hosts_.at(host)->options.directoryAddress, "/"));
}

std::string HostGroup::metrics(int host) const
{
    return bodyOf(httpGet(hosts_.at(host)->options.metricsAddress, "/metrics"));
}

int HostGroup::passedOnCount(int host) const
{
    constexpr std::string_view Name = "persimmon_passed_on_total{";
    std::istringstream lines(metrics(host));
    int count = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(Name))
            count += std::stoi(line.substr(line.rfind(' ') + 1));
    }
    return count;
}

int HostGroup::abandonedCount() const
{
    int count = 0;
    for (const auto &[id, upstream] : upstreams_)
        count += upstream->abandonedCount();
    return count;
}

std::map<std::pair<std::string, std::string>, int> HostGroup::executions() const
{
    const std::lock_guard lock(mutex_);
    return executions_;
}

int HostGroup::executionCount(const std::string &upstream) const
{
    int total = 0;
    for (const auto &[key, count] : executions())
        total += key.second == upstream ? count : 0;
    return total;
}

bool HostGroup::waitUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace persimmon::tests
