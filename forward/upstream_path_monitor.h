#pragma once

#include "forward/forwarding_client.h"
#include "state/upstream_reachability.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace persimmon::forward {

/// Callbacks of UpstreamPathMonitor.
struct UpstreamPathHooks
{
    /// Returns the number of upstreams that may be used.
    std::function<std::size_t()> upstreamCount = [] { return std::size_t(0); };
    /// Returns up to @c count random upstreams, of as many failure domains as possible.
    std::function<std::vector<protocol::HostRecord>(std::size_t count)> sampleUpstreams =
            [](std::size_t /*count*/) { return std::vector<protocol::HostRecord>(); };
    /// Called after isLost() changed.
    std::function<void()> onChange = [] {};
    /// Called after each round of trial connections without success.
    std::function<void()> onStillLost = [] {};
};

/// Finds out, from the results of attempts and by trial connections, whether this host has lost its
/// path to all upstreams. Requires a single-threaded runtime and must outlive its handlers.
class UpstreamPathMonitor
{
public:
    UpstreamPathMonitor(transport::Runtime &runtime, transport::Metrics &metrics,
                        ForwardingClient &client, UpstreamPathHooks hooks);

    /// Starts the trial connections.
    void start();

    /// Records that an attempt is sent to an upstream.
    void onAttemptStarted(const std::string &upstream);

    /// Records the end of an attempt.
    void onAttemptEnded(const std::string &upstream, const state::AttemptResult &result);

    /// @return whether no upstream can be reached from this host.
    bool isLost() const { return reachability_.isLost(); }

    /// @return whether requests that wait for upstreams will get no response.
    bool isSilent() const { return isLost() && reachability_.isSilent(runtime_.clock().now()); }

    /// @return whether this host should serve the next request itself, if another host could. After
    ///         the return of the path it takes back its requests little by little.
    bool shouldServe();

private:
    /// A round of trial connections.
    struct Trial
    {
        explicit Trial(const boost::asio::any_io_executor &executor) : event(executor) {}

        transport::AsyncAutoResetEvent event;
        std::size_t pending = 0;
        bool accepted = false;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> runTrial();
    boost::asio::awaitable<void> tryUpstream(std::shared_ptr<Trial> trial,
                                             protocol::HostRecord upstream);
    void logChange(const std::string &upstreams, transport::Duration lostTime) const;

    transport::Runtime &runtime_;
    ForwardingClient &client_;
    const UpstreamPathHooks hooks_;
    transport::Counter &acceptedTrials_;
    transport::Counter &failedTrials_;
    state::UpstreamReachability reachability_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace persimmon::forward
