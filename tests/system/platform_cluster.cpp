#include "tests/system/platform_cluster.h"

#include "tests/support/free_port.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace persimmon::tests {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};
/// Number of failure domains over which the hosts are distributed.
constexpr int ZoneCount = 3;

std::string loopbackAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string httpGet(int port, const std::string &target)
{
    const RawCaller caller(port);
    caller.send("GET " + target + " HTTP/1.1\r\nHost: h.example\r\n\r\n");
    return caller.receive(std::chrono::seconds(2));
}

} // namespace

PlatformCluster::PlatformCluster(PlatformClusterOptions options)
    : options_(std::move(options)),
      directory_(std::filesystem::temp_directory_path()
                 / ("persimmon-platform-" + std::to_string(::getpid()) + "-"
                    + std::to_string(allocatePort()))),
      store_(runtime_)
{
    std::filesystem::create_directories(directory_);
    const auto bound = store_.listen(valueOf(transport::parseEndpoint("127.0.0.1:0")));
    storeAddress_ = transport::formatEndpoint(valueOf(bound));
    runtime_.start();
    for (const auto &[id, service] : options_.serviceOf) {
        upstreams_[id] = std::make_unique<RawUpstream>(
                [this, id = id](const std::string &request) { return handleRequest(id, request); });
        addresses_[id] = options_.upstreamAddressFor(id, upstreams_.at(id)->address());
        registerUpstream(id, "ready");
    }
    publishConfig(1, "/g/");
    for (int host = 1; host <= options_.hostCount; ++host)
        ports_[host] = {allocatePort(), allocatePort(), allocatePort(), allocatePort(),
                        allocatePort()};
    for (int host = 1; host <= options_.hostCount; ++host)
        startHost(host);
}

PlatformCluster::~PlatformCluster()
{
    processes_.clear();
    upstreams_.clear();
    runtime_.stop();
    std::filesystem::remove_all(directory_);
}

void PlatformCluster::startHost(int host)
{
    writeSettings(host);
    const auto program = options_.programFor(host);
    processes_[host] = std::make_unique<Process>(
            std::vector<std::string>{program, "--settings-file", settingsPath(host),
                                     "--metrics-port", std::to_string(ports_.at(host).metrics)},
            logPath(host));
}

std::string PlatformCluster::logPath(int host) const
{
    return directory_ + "/host" + std::to_string(host) + ".log";
}

std::string PlatformCluster::settingsPath(int host) const
{
    return directory_ + "/host" + std::to_string(host) + ".yaml";
}

void PlatformCluster::writeSettings(int host, int ttlSeconds) const
{
    const auto &ports = ports_.at(host);
    std::string extraSeeds;
    for (const auto &address : options_.extraSeeds)
        extraSeeds += ", \"" + address + "\"";
    const auto zone = std::to_string(1 + (host - 1) % ZoneCount);
    std::ofstream file(settingsPath(host));
    file << "node_name: host" << host << "\nzone: z" << zone << "\nregion: r"
         << (options_.hasRegions ? zone + "\nzones: {z1: r1, z2: r2, z3: r3}"
                                 : "\nzones: {z1: r, z2: r, z3: r}")
         << "\nlisten_addrs:\n"
         << "  front: " << loopbackAddress(ports.front)
         << "\n  directory: " << loopbackAddress(ports.directory)
         << "\n  ready_addr: " << loopbackAddress(ports.ready)
         << "\n  control: " << loopbackAddress(ports.control) << "\nseed_nodes: [\""
         << loopbackAddress(ports_.at(1).control) << "\", \""
         << loopbackAddress(ports_.at(2).control) << "\"" << extraSeeds << "]\n"
         << "bounds: {retry_ratio: 0.2, retry_burst: 52, grace_s: 3, ttl_max_s: " << ttlSeconds
         << "}\n"
         << "platform:\n  address: " << options_.storeAddressFor(host, storeAddress_) << "\n";
}

void PlatformCluster::changeSettings(int host, int ttlSeconds)
{
    writeSettings(host, ttlSeconds);
}

void PlatformCluster::writeInvalidSettings(int host)
{
    std::ofstream(settingsPath(host)) << "node_name: [";
}

void PlatformCluster::publishConfig(std::uint64_t version, const std::string &prefix)
{
    store_.put("op/config", R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"g","host":"h.example","prefix":")"
                                    + prefix + R"(","kind":"idempotent","deadline_ms":2000,
 "goal_ms":500,"priority":1,"gather":["shard-a","shard-b"],"max_attempts":2,"top_k":2,
 "min_fraction":1.0},
{"name":"p","host":"h.example","prefix":"/pay/","kind":"non_idempotent","deadline_ms":2000,
 "goal_ms":500,"priority":0,"service":"pay","max_attempts":2},
{"name":"o","host":"h.example","prefix":"/one/","kind":"idempotent","deadline_ms":2000,
 "goal_ms":500,"priority":1,"service":"pay","max_attempts":2}],"services":[],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_ms":3000,"idle_ms":15000}})");
}

void PlatformCluster::registerUpstream(const std::string &id, const std::string &state)
{
    const auto domain = options_.failureDomainOf.find(id);
    const auto zone = domain == options_.failureDomainOf.end() ? "z1" : domain->second;
    store_.put("servers/" + id, R"({"service":")" + options_.serviceOf.at(id) + R"(","address":")"
                                        + addresses_.at(id) + R"(","zone":")" + zone
                                        + R"(","version":"v","concurrency_limit":4,"state":")"
                                        + state + R"(","cold_left_ms":0,"sequence":)"
                                        + std::to_string(++sequences_[id]) + R"(,"born":)"
                                        + std::to_string(1 + incarnations_[id]) + "}");
}

void PlatformCluster::registerRestart(const std::string &id)
{
    ++incarnations_[id];
    registerUpstream(id, "ready");
}

void PlatformCluster::deregisterUpstream(const std::string &id)
{
    store_.remove("servers/" + id);
}

void PlatformCluster::setEvacuated(const std::string &domain, bool evacuated)
{
    const auto key = "op/evacuate/" + domain;
    if (evacuated)
        store_.put(key, "{}");
    else
        store_.remove(key);
}

RawResponse PlatformCluster::handleRequest(const std::string &id, const std::string &request)
{
    const auto expected = fieldOf(request, "X-Expect-Instance");
    if (expected != id)
        return {makeResponse("", "", "X-Not-Executed: 1\r\n", 421)};
    {
        const std::lock_guard lock(mutex_);
        ++executionCounts_[fieldOf(request, "X-Request-Id")];
    }
    if (options_.requestHandler)
        return options_.requestHandler(id, request);
    if (dropResponses_)
        return {"", true};
    const auto fields = "X-Response-Stamp: " + options_.serviceOf.at(id)
                        + "\r\nX-Request-Id: " + fieldOf(request, "X-Request-Id") + "\r\n";
    RawResponse result{makeResponse(std::string(16, id.front()), "", fields)};
    result.delay = options_.responseTime;
    return result;
}

bool PlatformCluster::waitUntil(const std::function<bool()> &condition,
                                std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

bool PlatformCluster::waitUntilReady(int host, std::chrono::milliseconds limit)
{
    return waitUntil([&] { return statusOf(httpGet(ports_.at(host).ready, "/ready")) == 200; },
                     limit);
}

std::string PlatformCluster::call(int host, const std::string &target,
                                  const std::string &method) const
{
    static std::atomic<int> count = 0;
    return callWithId("q" + std::to_string(++count), host, target, method);
}

std::string PlatformCluster::callWithId(const std::string &id, int host, const std::string &target,
                                        const std::string &method) const
{
    const RawCaller caller(ports_.at(host).front);
    caller.send(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
    return caller.receive();
}

std::string PlatformCluster::frontAddress(int host) const
{
    return loopbackAddress(ports_.at(host).front);
}

std::string PlatformCluster::lastLogLine(int host) const
{
    std::ifstream log(logPath(host));
    std::string last;
    for (std::string line; std::getline(log, line);)
        last = line;
    return last;
}

std::string PlatformCluster::locate(int host) const
{
    return bodyOf(httpGet(ports_.at(host).directory, "/resolve?name=h.example&region=r&zone=z1"));
}

std::string PlatformCluster::metrics(int host) const
{
    return bodyOf(httpGet(ports_.at(host).metrics, "/metrics"));
}

std::map<std::string, int> PlatformCluster::executionCounts() const
{
    const std::lock_guard lock(mutex_);
    return executionCounts_;
}

std::size_t PlatformCluster::receivedRequestCount(const std::string &id) const
{
    return upstreams_.at(id)->requests().size();
}

std::size_t PlatformCluster::receivedRequestCount(const std::string &id,
                                                  const std::string &prefix) const
{
    const auto requests = upstreams_.at(id)->requests();
    return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(), [&prefix](const std::string &request) {
                return fieldOf(request, "X-Request-Id").starts_with(prefix);
            }));
}

} // namespace persimmon::tests
