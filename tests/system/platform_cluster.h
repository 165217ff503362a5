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

/// Entry hosts of the platform as real processes, with its store and upstreams in this process: one
/// region, two shards of two upstreams each, and a service for requests that must not run twice.
class PlatformCluster
{
public:
    static constexpr int HostCount = 3;

    PlatformCluster();
    ~PlatformCluster();
    PlatformCluster(const PlatformCluster &) = delete;
    PlatformCluster &operator=(const PlatformCluster &) = delete;

    void start(int host);
    Process &process(int host) { return *processes_.at(host); }
    standin::RecordStore &store() { return store_; }

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

    /// @return "127.0.0.1:port" of the front of a host.
    std::string front(int host) const;

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

    RawAnswer answer(const std::string &id, const std::string &request);
    void writeSettings(int host) const;
    std::string settingsPath(int host) const;

    std::string folder_;
    transport::Runtime runtime_{2};
    standin::RecordStore store_;
    std::string storeAddress_;
    std::map<int, Ports> ports_;
    std::map<std::string, std::string> serviceOf_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::atomic<bool> loseAnswers_ = false;
    std::map<std::string, std::unique_ptr<RawUpstream>> upstreams_;
    std::map<int, std::unique_ptr<Process>> processes_;
};

} // namespace persimmon::tests
