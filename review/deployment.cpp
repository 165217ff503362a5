#include "review/deployment.h"

#include "tests/support/raw_http.h"

#include <unistd.h>

#include <filesystem>
#include <random>
#include <sstream>

namespace persimmon::review {

namespace {

constexpr int DirectoryPort = 8100;
constexpr int StorePort = 8102;
constexpr int ControlPort = 8106;
constexpr int ReadinessPort = 8108;
constexpr int StoreOctet = 100;
constexpr int FirstServerOctet = 101;
constexpr int MaxSeeds = 3;
constexpr std::chrono::seconds StartTimeout{15};
constexpr std::chrono::milliseconds PollInterval{50};
/// Time that a client allows beyond its deadline, after which the request is unanswered.
constexpr std::chrono::milliseconds AnswerMargin{3000};
constexpr const char *DeployFile = "deploy/system.toml";
constexpr const char *SettingsVariable = "PERSIMMONHEAD_NODE_FILE";

/// @return the words of the command that starts a host, from the deploy file.
std::vector<std::string> readRunCommand()
{
    std::ifstream file(DeployFile);
    const std::string start = "run = \"";
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with(start))
            continue;
        std::istringstream command(line.substr(start.size(), line.rfind('"') - start.size()));
        std::vector<std::string> words;
        for (std::string word; command >> word;)
            words.push_back(word);
        return words;
    }
    return {};
}

std::string chooseNetwork()
{
    std::random_device random;
    std::uniform_int_distribution<int> octet(2, 250);
    return "127." + std::to_string(octet(random)) + "." + std::to_string(octet(random));
}

} // namespace

Deployment::Deployment(int hostCount, Record &record)
    : hostCount_(hostCount),
      record_(record),
      network_(chooseNetwork()),
      directory_(std::filesystem::temp_directory_path()
                 / ("persimmon-review-" + std::to_string(::getpid()))),
      store_(runtime_)
{
    std::filesystem::create_directories(directory_);
    const auto address =
            network_ + "." + std::to_string(StoreOctet) + ":" + std::to_string(StorePort);
    storeListens_ = isOk(store_.listen(valueOf(transport::parseEndpoint(address))));
    runtime_.start();
}

Deployment::~Deployment()
{
    processes_.clear();
    servers_.clear();
    runtime_.stop();
    std::filesystem::remove_all(directory_);
}

Server &Deployment::addServer(ServerOptions options)
{
    options.ip =
            network_ + "." + std::to_string(FirstServerOctet + static_cast<int>(servers_.size()));
    servers_.push_back(std::make_unique<Server>(std::move(options), record_));
    auto &server = *servers_.back();
    const auto &own = server.options();
    store_.put("servers/" + own.id,
               R"({"service":")" + own.service + R"(","address":")" + server.address()
                       + R"(","zone":")" + own.failureDomain
                       + R"(","version":"v1","concurrency_limit":)" + std::to_string(own.slots)
                       + R"(,"state":"ready","cold_left_ms":0,"sequence":1,"born":1700000000000})");
    return server;
}

bool Deployment::start()
{
    const auto command = readRunCommand();
    bool ready = storeListens_ && !command.empty();
    for (const auto &server : servers_)
        ready = ready && server->isListening();
    for (int host = 1; ready && host <= hostCount_; ++host) {
        writeSettings(host);
        ::setenv(SettingsVariable, settingsPath(host).c_str(), 1);
        processes_[host] = std::make_unique<tests::Process>(
                command, directory_ + "/host" + std::to_string(host) + ".log");
    }
    for (int host = 1; ready && host <= hostCount_; ++host)
        ready = waitUntilReady(host);
    return ready;
}

bool Deployment::waitUntilReady(int host) const
{
    const auto end = std::chrono::steady_clock::now() + StartTimeout;
    while (std::chrono::steady_clock::now() < end) {
        const auto connection = Socket::connectTo(hostIp(host), ReadinessPort);
        std::string buffer;
        if (connection.isValid()
            && connection.send("GET /ready HTTP/1.1\r\nHost: " + hostIp(host) + "\r\n\r\n")
            && tests::statusOf(connection.receiveMessage(buffer, std::chrono::seconds(1))) == 200)
            return true;
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

std::string Deployment::settingsPath(int host) const
{
    return directory_ + "/host" + std::to_string(host) + ".yaml";
}

void Deployment::writeSettings(int host) const
{
    const auto at = [this](int of, int port) {
        return "\"" + hostIp(of) + ":" + std::to_string(port) + "\"";
    };
    std::ofstream file(settingsPath(host));
    file << "node_name: front-" << host << "\nrole: host\nmachine_class: front\n"
         << "serves: [front, control, directory]\nip: " << hostIp(host)
         << "\nzone: " << domainOf(host) << "\nregion: region-1\nzones:\n";
    for (int other = 1; other <= hostCount_; ++other)
        file << "  " << domainOf(other) << ": region-1\n";
    file << "listen_addrs:\n  front: " << at(host, FrontPort)
         << "\n  ready_addr: " << at(host, ReadinessPort)
         << "\n  control: " << at(host, ControlPort) << "\n  directory: " << at(host, DirectoryPort)
         << "\nport_range: [7380, 7395]\nseed_nodes:\n";
    for (int seed = 1; seed <= std::min(hostCount_, MaxSeeds); ++seed)
        file << "  - " << at(seed, ControlPort) << "\n";
    file << "bootstrap: true\nin_tolerance: false\nlimits: {cpu_share: 0.25, cpu_cores: 1, "
            "memory_mb: 260, max_fds: 4100, net_mbps: 1000.0, disk_mb: 0}\n"
            "data_dir: null\ndiscovery: platform\nentrypoint: directory\nheartbeat_ms: 1200\n"
            "fault_tolerance: {nodes: 2, zones: 1, regions: 1}\n"
            "bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 4000, ack_ms: 5000, sync_s: 4, "
            "drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, apply_ms: 3000, downgrade_ms: 250, "
            "max_stretch_ms: 12000, retry_ratio: 0.2, retry_window_s: 10, retry_burst: 52, "
            "cold_excess: 1.5, cold_slack: 5, evacuate_ms: 5000, recovery_s: 12, ttl_max_s: 5}\n"
            "platform: {address: \""
         << network_ << "." << StoreOctet << ":" << StorePort
         << "\", form: read, writes_per_s: 400, reads_per_s: 2000, retention_s: 20, "
            "value_bytes: 1048576, min_ttl_ms: 1000}\n";
}

ClientAnswer Deployment::call(int host, const std::string &method, const std::string &path,
                              const std::string &requestId, const std::string &body,
                              std::chrono::milliseconds deadline)
{
    record_.add("sent", requestId, method + " " + path + " to host " + std::to_string(host));
    const auto connection = Socket::connectTo(hostIp(host), FrontPort);
    ClientAnswer answer;
    std::string buffer;
    const auto length =
            body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (connection.isValid()
        && connection.send(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: "
                           + requestId + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count())
                           + "\r\n" + length + "\r\n" + body))
        answer.message = connection.receiveMessage(buffer, deadline + AnswerMargin);
    if (isCompleteMessage(answer.message))
        answer.status = tests::statusOf(answer.message);
    record_.add("answered", requestId,
                std::to_string(answer.status)
                        + " stamp=" + tests::fieldOf(answer.message, "X-Response-Stamp"));
    return answer;
}

std::string makeConfig(int version, const std::vector<std::string> &routes,
                       const std::vector<std::string> &services)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (const auto &route : routes)
        text.append(&route == routes.data() ? "" : ",").append(route);
    text += R"(],"services":[)";
    for (const auto &service : services) {
        text.append(&service == services.data() ? "" : ",")
                .append(R"({"name":")")
                .append(service)
                .append(R"(","health_path":"/health","max_conns":96,"protocol":"h1","tls":false,)")
                .append(R"("cold_start_s":3.0,"warmup_per_s":0.0})");
    }
    return text
           + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_ms":3000,)"
             R"("idle_ms":15000}})";
}

std::string makeRequestId(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace persimmon::review
