#pragma once

#include "entry/entry_hooks.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace persimmon::entry {

/// Probes the entries that locate answers may contain. The host list lags behind, so a killed entry
/// would otherwise be sent to callers until the list is updated. Callable from any thread.
class EntryProber
{
public:
    /// @param self name of this host, which is never probed.
    EntryProber(transport::Runtime &runtime, EntryHooks hooks, std::string self,
                std::uint16_t entryPort);

    /// Adds @p host to the hosts to probe.
    /// @return false if the last probes of the host have failed.
    bool isReachable(std::string_view host);

    /// Probes the added hosts periodically, until stop().
    /// @param self prober to run; the coroutine and its probes hold references.
    static boost::asio::awaitable<void> watch(std::shared_ptr<EntryProber> self);

    /// Makes watch() return after its next iteration.
    void stop() { stopped_ = true; }

private:
    struct ProbeState
    {
        transport::TimePoint lastConsidered{};
        transport::TimePoint lastProbed{};
        int failures = 0;
    };

    /// Marks hosts that the view lists as unavailable as unreachable, so that they need a
    /// successful probe after their return: a host that returns may still refuse requests.
    void markUnavailable(const state::ClusterView &view, transport::TimePoint now);
    std::vector<std::string> selectHostsToProbe();
    static boost::asio::awaitable<void> probe(std::shared_ptr<EntryProber> self, std::string host);
    void recordResult(const std::string &host, bool answered);

    transport::Runtime &runtime_;
    const EntryHooks hooks_;
    const std::string self_;
    const std::uint16_t entryPort_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::map<std::string, ProbeState, std::less<>> probes_;
};

} // namespace persimmon::entry
