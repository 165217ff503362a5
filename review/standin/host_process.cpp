#include "review/standin/host_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace persimmon::review {

namespace {

constexpr const char *DeployFile = "deploy/system.toml";
constexpr std::chrono::milliseconds PollInterval{50};
constexpr std::chrono::milliseconds ReadyTimeout{1000};

SocketAddress freeAddress(const std::string &ip)
{
    SocketAddress address{ip, 0};
    const auto probe = listenOn(ip, address.port);
    return address;
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

std::vector<std::string> readHostCommand(const std::string &deployFile)
{
    constexpr std::string_view Start = "run = \"";
    std::ifstream file(deployFile);
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with(Start))
            continue;
        std::istringstream text(line.substr(Start.size(), line.rfind('"') - Start.size()));
        std::vector<std::string> words;
        for (std::string word; text >> word;)
            words.push_back(word);
        return words;
    }
    return {};
}

std::string findFreeNetwork(int count)
{
    constexpr int MetricsPort = 9109;
    constexpr int FirstNetwork = 40;
    constexpr int NetworkCount = 210;
    // Cases that start at the same time try different networks first.
    const auto first = static_cast<int>(::getpid());
    for (int i = 0; i < NetworkCount; ++i) {
        const auto second = FirstNetwork + (first + i) % NetworkCount;
        const auto network = "127." + std::to_string(second) + ".0.";
        bool free = true;
        for (int host = 1; host <= count; ++host) {
            int port = MetricsPort;
            free = free && listenOn(network + std::to_string(host), port).isOpen();
        }
        if (free)
            return network;
    }
    return "127.0.0.";
}

HostProcess::HostProcess(int number, const std::string &directory, const std::string &ip,
                         HostPlace place)
    : number_(number),
      settingsPath_(directory + "/host-" + std::to_string(number) + ".yaml"),
      logPath_(directory + "/host-" + std::to_string(number) + ".log"),
      place_(std::move(place)),
      addresses_{freeAddress(ip), freeAddress(ip), freeAddress(ip), freeAddress(ip)}
{
}

HostProcess::~HostProcess()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

std::string HostProcess::settings(const SocketAddress &store, const std::vector<std::string> &seeds,
                                  const std::vector<HostPlace> &places) const
{
    std::ostringstream text;
    text << "node_name: " << quoted("front-" + std::to_string(number_)) << "\n"
         << "role: \"host\"\nmachine_class: \"front\"\nserves: [\"front\", \"control\", "
            "\"directory\"]\n"
         << "ip: " << quoted(addresses_.front.ip) << "\n"
         << "zone: " << quoted(place_.zone) << "\nregion: " << quoted(place_.region)
         << "\nzones:\n";
    std::map<std::string, std::string> regions;
    for (const auto &place : places)
        regions[place.zone] = place.region;
    for (const auto &[zone, region] : regions)
        text << "  " << zone << ": " << quoted(region) << "\n";
    text << "listen_addrs:\n  front: " << quoted(addresses_.front.text())
         << "\n  ready_addr: " << quoted(addresses_.ready.text())
         << "\n  control: " << quoted(addresses_.control.text())
         << "\n  directory: " << quoted(addresses_.directory.text())
         << "\nport_range: [7380, 7395]\nseed_nodes:\n";
    for (const auto &seed : seeds)
        text << "  - " << quoted(seed) << "\n";
    // The limits and bounds are those of the site file bkt-search.
    text << "bootstrap: true\nin_tolerance: false\n"
         << "limits: {cpu_share: 0.25, cpu_cores: 1, memory_mb: 260, max_fds: 4100, net_mbps: "
            "1000.0, disk_mb: 0}\n"
         << "data_dir: null\ndiscovery: \"platform\"\nentrypoint: \"directory\"\n"
         << "heartbeat_ms: 1200\nfault_tolerance: {nodes: 2, zones: 1, regions: 1}\n"
         << "bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 4000, ack_ms: 5000, sync_s: 4, "
            "drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, apply_ms: 3000, downgrade_ms: 250, "
            "max_stretch_ms: 12000, retry_ratio: 0.2, retry_window_s: 10, retry_burst: 52, "
            "cold_excess: 1.5, cold_slack: 5, evacuate_ms: 5000, recovery_s: 12, ttl_max_s: 5}\n"
         << "platform: {address: " << quoted(store.text())
         << ", form: \"read\", writes_per_s: 400, reads_per_s: 2000, retention_s: 20, "
            "value_bytes: 1048576, min_ttl_ms: 1000}\n";
    return text.str();
}

bool HostProcess::start(const SocketAddress &store, const std::vector<std::string> &seeds,
                        const std::vector<HostPlace> &places)
{
    std::ofstream(settingsPath_) << settings(store, seeds, places);
    auto words = readHostCommand(DeployFile);
    if (words.empty())
        return false;
    std::vector<char *> arguments;
    for (auto &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string path = "PATH=/usr/bin:/bin";
    std::string settingsVariable = "PERSIMMONHEAD_NODE_FILE=" + settingsPath_;
    std::vector<char *> environment{path.data(), settingsVariable.data(), nullptr};
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    constexpr mode_t LogMode = 0600;
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath_.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, LogMode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&process_, words.front().c_str(), &actions, nullptr,
                                    arguments.data(), environment.data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        process_ = -1;
    return error == 0;
}

bool HostProcess::waitUntilReady(std::chrono::milliseconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        HttpStream stream(connectTo(addresses_.ready, ReadyTimeout));
        if (stream.socket().isOpen()) {
            stream.setReadTimeout(ReadyTimeout);
            stream.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto response = stream.read();
            if (response && response->secondWord() == "200")
                return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

std::string HostProcess::readLog() const
{
    std::ostringstream text;
    text << std::ifstream(logPath_).rdbuf();
    return text.str();
}

void HostProcess::sendSignal(int signal) const
{
    if (process_ > 0)
        ::kill(process_, signal);
}

} // namespace persimmon::review
