#pragma once

#include "forward/attempt_trace.h"
#include "forward/forward_request.h"
#include "state/crash_evidence.h"
#include "state/scheduler_actions.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::forward {

/// Callbacks of CrashGate.
struct CrashGateHooks
{
    /// Returns the start of the process of an upstream; 0 if unknown.
    std::function<std::uint64_t(const std::string &upstream)> incarnationOf =
            [](const std::string & /*upstream*/) { return 0; };
    /// Called after a request of this host has led to the quarantine of its fingerprint.
    std::function<void()> onQuarantined = [] {};
};

/// Holds back attempts of requests that crash upstreams, and reports the upstreams that requests of
/// this host have lost. Requires a single-threaded runtime.
class CrashGate
{
public:
    CrashGate(transport::Runtime &runtime, state::CrashEvidence &evidence, CrashGateHooks hooks)
        : runtime_(runtime),
          evidence_(evidence),
          hooks_(std::move(hooks))
    {
    }

    /// @return the time until the quarantine of the request ends, or std::nullopt if there is none.
    std::optional<transport::Duration> quarantineTimeLeft(const ForwardRequest &request) const;

    /// Waits until an attempt may be sent.
    /// @return false if it must not be sent.
    boost::asio::awaitable<bool> awaitPermission(std::shared_ptr<const ForwardRequest> request,
                                                 std::shared_ptr<AttemptTrace> trace,
                                                 std::string service,
                                                 transport::TimePoint deadline);

    /// Records that an attempt is sent.
    /// @return what to report if it is lost.
    state::LostUpstream onAttemptStarted(const ForwardRequest &request, AttemptTrace &trace,
                                         const protocol::HostRecord &upstream);

    /// Records the end of an attempt at @p target.
    void onAttemptEnded(const ForwardRequest &request, AttemptTrace &trace,
                        const state::LostUpstream &target, const state::AttemptResult &result);

    /// Ends the attempts that wait, and reports the lost upstreams of a request that was answered.
    void onFinished(const ForwardRequest &request, AttemptTrace &trace);

private:
    void report(const ForwardRequest &request, const std::vector<state::LostUpstream> &upstreams);

    transport::Runtime &runtime_;
    state::CrashEvidence &evidence_;
    const CrashGateHooks hooks_;
};

/// @return the names of the first few upstreams, for log messages.
std::string describeUpstreams(const std::vector<state::LostUpstream> &upstreams);

} // namespace persimmon::forward
