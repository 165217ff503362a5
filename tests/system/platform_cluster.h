#pragma once

#include "standin/standin.h"
#include "tests/support/raw_http.h"
#include "tests/system/process.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace persimmon::tests {

/// What stands behind the hosts of a PlatformCluster, and on which ways they reach it.
struct PlatformPlan
{
    /// Gets the id of an upstream and a whole request that names this upstream as expected.
    using Answerer = std::function<RawResponse(const std::string &id, const std::string &request)>;

    /// Service of each upstream, by id.
    std::map<std::string, std::string> serviceOf{{"a1", "shard-a"}, {"a2", "shard-a"},
                                                 {"b1", "shard-b"}, {"b2", "shard-b"},
                                                 {"p1", "pay"},     {"p2", "pay"}};
    /// Answers requests in place of PlatformCluster.
    Answerer answer = {};
    /// Gives the address under which an upstream is registered; gets its id and its own address.
    std::function<std::string(const std::string &id, const std::string &address)> routeToUpstream =
            [](const std::string & /*id*/, const std::string &address) { return address; };
    /// Gives the address under which a host reaches the store; gets the store's own address.
    std::function<std::string(int host, const std::string &address)> routeToStore =
            [](int /*host*/, const std::string &address) { return address; };
};

/// Entry hosts of the platform as real processes, with its store and upstreams in this process: one
/// region, two shards of two upstreams each, and a service for requests that must not run twice.
class PlatformCluster
{
public:
    static constexpr int HostCount = 3;
    /// Time that callers keep the directory's answers.
    static constexpr int DefaultKeepSeconds = 2;

    explicit PlatformCluster(PlatformPlan plan = {});
    ~PlatformCluster();
    PlatformCluster(const PlatformCluster &) = delete;
    PlatformCluster &operator=(const PlatformCluster &) = delete;

    void start(int host);
    Process &process(int host) { return *processes_.at(host); }
    standin::SimulatedKeyValueStore &store() { return store_; }

    /// Writes a configuration whose gathered route has @p prefix.
    void configure(std::uint64_t version, const std::string &prefix);

    /// Registers an upstream, or changes its state.
    void registerUpstream(const std::string &id, const std::string &state);

    /// @return whether the host says that it is ready within @p limit.
    bool waitUntilReady(int host, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// @return whether @p condition became true within @p limit.
    static bool waitUntil(const std::function<bool()> &condition,
                          std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// Sends one request to a host on a new connection.
    /// @return the response as text.
    std::string call(int host, const std::string &target, const std::string &method = "GET") const;

    /// Sends one request with a given id.
    std::string callAs(const std::string &id, int host, const std::string &target,
                       const std::string &method = "GET") const;

    /// Writes the settings file of a host anew, with another time that callers keep its answers.
    void changeSettings(int host, int keepSeconds);

    /// Writes a settings file that cannot be read.
    void breakSettings(int host);

    /// @return "127.0.0.1:port" of the front of a host.
    std::string front(int host) const;

    /// @return port of the front of a host.
    int frontPort(int host) const { return ports_.at(host).front; }

    /// @return the last line that a host logged.
    std::string lastLogLine(int host) const;

    /// @return the addresses that a host names to callers.
    std::string locate(int host) const;

    /// @return the text of the metrics of a host.
    std::string metrics(int host) const;

    /// @return how often each request ran, by its id.
    std::map<std::string, int> runs() const;

    /// Makes the upstreams close connections in place of answers.
    void loseAnswers(bool lose) { loseAnswers_ = lose; }

    /// @return number of requests that arrived at an upstream.
    std::size_t arrivalsAt(const std::string &id) const;

private:
    struct Ports
    {
        int front = 0;
        int directory = 0;
        int ready = 0;
        int control = 0;
        int metrics = 0;
    };

    RawResponse answer(const std::string &id, const std::string &request);
    void writeSettings(int host, int keepSeconds = DefaultKeepSeconds) const;
    std::string settingsPath(int host) const;
    std::string logPath(int host) const;

    const PlatformPlan plan_;
    std::string folder_;
    transport::Runtime runtime_{2};
    standin::SimulatedKeyValueStore store_;
    std::string storeAddress_;
    std::map<int, Ports> ports_;
    std::map<std::string, std::string> addresses_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::atomic<bool> loseAnswers_ = false;
    std::map<std::string, std::unique_ptr<RawUpstream>> upstreams_;
    std::map<int, std::unique_ptr<Process>> processes_;
};

} // namespace persimmon::tests
