#include "tests/system/cluster.h"

#include <boost/json.hpp>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

namespace json = boost::json;

namespace persimmon::tests {

namespace {

constexpr int FirstNetwork = 20;
constexpr int NetworkCount = 200;

/// Returns a separate loopback network for each cluster of a test process, so that connections from
/// an earlier cluster cannot reach it.
std::string allocateNetwork()
{
    static int count = 0;
    return "127." + std::to_string(FirstNetwork + (getpid() + 7 * count++) % NetworkCount);
}

/// @return the words of an environment variable, which runs the same tests with another policy or
///         with a mechanism switched off.
std::vector<std::string> readExtraFlags(const char *variable)
{
    const char *text = std::getenv(variable);
    std::istringstream words(text == nullptr ? "" : text);
    return {std::istream_iterator<std::string>(words), {}};
}

void append(std::vector<std::string> &arguments, const std::vector<std::string> &values)
{
    arguments.insert(arguments.end(), values.begin(), values.end());
}

json::value readJson(const std::string &path)
{
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    return json::parse(text);
}

std::vector<std::string> readFailureDomains(const std::string &path)
{
    std::vector<std::string> domains(Cluster::HostCount);
    const auto document = readJson(path);
    const auto &rows = document.is_object() ? document.at("hosts").as_array() : document.as_array();
    for (const auto &row : rows) {
        if (row.at("kind").as_string() != "entry")
            continue;
        const std::string name(row.at("name").as_string());
        domains.at(std::stoul(name.substr(1)) - 1) = row.at("failure_domain").as_string();
    }
    return domains;
}

} // namespace

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)), network_(allocateNetwork())
{
    const auto folder =
            std::string(PERSIMMON_SOURCE_DIR) + "/misc/deployments/" + options_.deployment;
    failureDomains_ = readFailureDomains(folder + "/hosts.json");
    logs_ = std::string(PERSIMMON_BINARY_DIR) + "/system-logs/" + network_;
    std::filesystem::remove_all(logs_);
    std::filesystem::create_directories(logs_);
    std::vector<std::string> arguments{std::string(PERSIMMON_BINARY_DIR) + "/persimmon-standin",
                                       "--deployment",
                                       folder,
                                       "--network",
                                       network_,
                                       "--platform",
                                       network_ + ".0.1:7000",
                                       "--control",
                                       network_ + ".0.1:7001"};
    append(arguments, options_.simulatorFlags);
    simulator_.emplace_back(arguments, logPath("standin"));
    eventually([&] { return !simulatorState().is_null(); });
    for (int host = 1; host <= HostCount; ++host) {
        startAgent(host);
        startDispatch(host);
        startEntry(host);
    }
    for (int host = 1; host <= HostCount; ++host)
        waitUntilReady(host);
}

Cluster::~Cluster() = default;

std::string Cluster::ip(int host) const
{
    return network_ + ".1." + std::to_string(host);
}

std::string Cluster::entryAddress(int host) const
{
    return ip(host) + ":7100";
}

std::string Cluster::logPath(const std::string &name) const
{
    return logs_ + "/" + name + ".log";
}

std::vector<std::string> Cluster::daemonArguments(const std::string &program, int host) const
{
    std::vector<std::string> arguments{std::string(PERSIMMON_BINARY_DIR) + "/" + program};
    const auto add = [&](const std::string &flag, const std::string &value) {
        arguments.push_back("--" + flag);
        arguments.push_back(value);
    };
    add("host", "h" + std::to_string(host));
    add("address", ip(host));
    add("failure-domain", failureDomain(host));
    add("service", options_.serviceAddressFor(network_ + ".0.1:7000"));
    return arguments;
}

void Cluster::startAgent(int host)
{
    auto arguments = daemonArguments("persimmon-agent", host);
    arguments.insert(arguments.end(), {"--admin", ip(host) + ":7301", "--peers"});
    std::string peers;
    for (int peer = 1; peer <= HostCount; ++peer) {
        if (peer != host)
            peers += (peers.empty() ? "" : ",") + ip(peer) + ":7300";
    }
    for (const auto &peer : options_.extraPeers)
        peers += "," + peer;
    arguments.push_back(peers);
    agents_.erase(host);
    agents_.emplace(host, Process(arguments, logPath("agent-" + std::to_string(host))));
}

void Cluster::startDispatch(int host)
{
    auto arguments = daemonArguments("persimmon-dispatch", host);
    arguments.insert(arguments.end(),
                     {"--agent", ip(host) + ":7300", "--admin", ip(host) + ":7201"});
    append(arguments, options_.dispatchFlags);
    append(arguments, readExtraFlags("PERSIMMON_TEST_DISPATCH_FLAGS"));
    dispatchers_.erase(host);
    dispatchers_.emplace(host, Process(arguments, logPath("dispatch-" + std::to_string(host))));
}

void Cluster::startEntry(int host)
{
    auto arguments = daemonArguments("persimmon-entry", host);
    arguments.insert(arguments.end(),
                     {"--agent", ip(host) + ":7300", "--admin", ip(host) + ":7101"});
    append(arguments, options_.entryFlags);
    append(arguments, readExtraFlags("PERSIMMON_TEST_ENTRY_FLAGS"));
    entries_.erase(host);
    entries_.emplace(host, Process(arguments, logPath("entry-" + std::to_string(host))));
}

bool Cluster::waitUntilReady(int host)
{
    return eventually([&] {
        const auto answer = locate(host, "probe");
        return answer.is_object() && answer.as_object().contains("address");
    });
}

json::value Cluster::query(int host, const json::object &body)
{
    return httpClient_.json(entryAddress(host), "POST", "/v1/query", body);
}

json::value Cluster::locate(int host, const std::string &caller)
{
    return httpClient_.json(entryAddress(host), "GET", "/v1/locate?caller=" + caller);
}

std::string Cluster::makeRequestId(int host, const std::string &unique)
{
    // locate distributes callers over the entries, so try callers until one is assigned to this
    // host.
    for (int i = 0; i < 1000; ++i) {
        const auto answer = locate(host, "caller-" + std::to_string(i));
        if (!answer.is_object() || !answer.as_object().contains("home"))
            continue;
        if (answer.at("address").as_string() == entryAddress(host))
            return std::string(answer.at("home").as_string()) + ":" + unique;
    }
    return "";
}

json::value Cluster::fault(const json::object &command)
{
    return httpClient_.json(network_ + ".0.1:7001", "POST", "/fault", command);
}

json::value Cluster::simulatorState()
{
    return httpClient_.json(network_ + ".0.1:7001", "GET", "/state");
}

std::size_t Cluster::executions(const std::string &requestId)
{
    const auto answer =
            httpClient_.json(network_ + ".0.1:7001", "GET", "/executions?request_id=" + requestId);
    return answer.at("executions").as_array().size();
}

json::value Cluster::hostRow(const std::string &name)
{
    const auto list =
            httpClient_.json(network_ + ".0.1:7000", "GET", "/v1/hosts?since=0&wait_ms=0");
    for (const auto &row : list.at("hosts").as_array()) {
        if (row.at("name").as_string() == std::string_view(name))
            return row;
    }
    return nullptr;
}

} // namespace persimmon::tests
