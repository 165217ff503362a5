#include "review/standin/case_run.h"

#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>

namespace persimmon::review {

namespace {

constexpr std::chrono::seconds ReadyLimit{15};
constexpr std::chrono::milliseconds ConnectLimit{1000};
constexpr std::chrono::milliseconds ResponseLimit{4000};
constexpr std::size_t MaxSeeds = 3;
/// All hosts start within 0.3 s.
constexpr std::chrono::milliseconds StartInterval{50};

} // namespace

void Record::write(SteadyTime time, const std::string &line)
{
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> elapsed = time - start_;
    file_ << std::fixed << std::setprecision(3) << elapsed.count() << " " << line << std::endl;
}

CaseRun::CaseRun(const std::string &recordPath, std::vector<HostPlace> places)
    : record_(recordPath),
      places_(std::move(places))
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) != nullptr)
        directory_ = pattern;
    const auto network = findFreeNetwork(static_cast<int>(places_.size()));
    standInIp_ = network + "100";
    store_ = std::make_unique<PlatformStore>(standInIp_, static_cast<int>(places_.size()));
    for (std::size_t i = 0; i < places_.size(); ++i) {
        hosts_.push_back(std::make_unique<HostProcess>(
                static_cast<int>(i), directory_, network + std::to_string(i + 1), places_[i]));
    }
}

CaseRun::~CaseRun()
{
    hosts_.clear();
    store_.reset();
    upstreams_.clear();
    std::error_code ignored;
    if (!directory_.empty())
        std::filesystem::remove_all(directory_, ignored);
}

bool CaseRun::hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

bool CaseRun::startHosts()
{
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < hosts_.size() && i < MaxSeeds; ++i)
        seeds.push_back(hosts_[i]->addresses().control.text());
    bool started = !directory_.empty();
    for (std::size_t i = 0; i < hosts_.size() && started; ++i) {
        started = hosts_[i]->start(store_->addressFor(static_cast<int>(i)), seeds, places_);
        std::this_thread::sleep_for(StartInterval);
    }
    for (const auto &host : hosts_) {
        if (started && !host->waitUntilReady(ReadyLimit)) {
            started = false;
            record_.write("a host did not become ready; its log:\n" + host->readLog());
        }
    }
    if (started)
        record_.write("all hosts are ready");
    return started;
}

UpstreamServer &CaseRun::addUpstream(const std::string &id, const std::string &service,
                                     const std::string &zone, const UpstreamBehaviour &behaviour,
                                     std::chrono::milliseconds coldTime)
{
    upstreams_.push_back(
            std::make_unique<UpstreamServer>(standInIp_, id, service, zone, behaviour));
    auto &upstream = *upstreams_.back();
    const auto entry = upstream.entry(coldTime);
    const auto accepted = store_->put("servers/" + id, entry);
    record_.write(accepted, "store accepted servers/" + id + " " + entry);
    return upstream;
}

void CaseRun::publishConfig(int version, const std::string &routes,
                            const std::vector<std::string> &services)
{
    std::string list;
    for (const auto &service : services) {
        list.append(list.empty() ? "" : ",")
                .append(R"({"name":")" + service
                        + R"(","health_path":"/health","max_conns":96,"cold_start_s":3.0,)"
                        + R"("warmup_per_s":10})");
    }
    const auto config =
            R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
            + R"(],"services":[)" + list
            + R"(],"limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_ms":5000,)"
            + R"("idle_ms":10000}})";
    const auto accepted = store_->put("op/config", config);
    record_.write(accepted, "store accepted op/config " + config);
}

std::optional<HttpMessage> CaseRun::call(const SocketAddress &address, const std::string &path,
                                         const std::string &requestId)
{
    HttpStream stream(connectTo(address, ConnectLimit));
    if (!stream.socket().isOpen())
        return std::nullopt;
    stream.setReadTimeout(ResponseLimit);
    stream.write("GET " + path + " HTTP/1.1\r\nHost: trials.example\r\nX-Request-Id: " + requestId
                 + "\r\nX-Deadline-Ms: 2500\r\n\r\n");
    return stream.read();
}

std::optional<HttpMessage> CaseRun::call(int host, const std::string &path,
                                         const std::string &requestId) const
{
    return call(hosts_.at(host)->addresses().front, path, requestId);
}

std::vector<int> CaseRun::locate(int host, const HostPlace &place) const
{
    const auto answer =
            call(hosts_.at(host)->addresses().directory,
                 "/resolve?name=trials.example&region=" + place.region + "&zone=" + place.zone,
                 "directory");
    std::vector<int> named;
    for (std::size_t i = 0; i < hosts_.size() && answer; ++i) {
        if (answer->body.find('"' + hosts_[i]->addresses().front.text() + '"') != std::string::npos)
            named.push_back(static_cast<int>(i));
    }
    return named;
}

void CaseRun::recordArrivals()
{
    for (const auto &upstream : upstreams_) {
        for (const auto &arrival : upstream->arrivals())
            record_.write(arrival.time, upstream->id() + " ran " + arrival.requestId);
    }
}

int CaseRun::finish(CaseResult result, const std::string &reason)
{
    const std::string verdict = result == CaseResult::Held     ? "held: "
                                : result == CaseResult::Broken ? "broken: "
                                                               : "not run: ";
    record_.write(verdict + reason);
    std::cout << verdict << reason << "\n";
    return static_cast<int>(result);
}

} // namespace persimmon::review
