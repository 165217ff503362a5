#pragma once

#include "entry/entry_hooks.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace persimmon::entry {

/// Tests the entries that locate answers name, since the host list lags: a killed entry must not be
/// named until the list says so. Callable from any thread.
class EntryProber
{
public:
    /// @param self name of this host, which is never tested.
    EntryProber(transport::Runtime &runtime, EntryHooks hooks, std::string self,
                std::uint16_t entryPort);

    /// Notes that @p host was considered for an answer, so that it is tested from now on.
    /// @return false when the host has failed its last tests.
    bool isReachable(std::string_view host);

    /// Tests the noted hosts again and again, until end().
    /// @param self prober to run; the coroutine and its tests keep it.
    static boost::asio::awaitable<void> watch(std::shared_ptr<EntryProber> self);

    /// Lets watch() end at its next round.
    void end() { ended_ = true; }

private:
    struct Probe
    {
        transport::TimePoint lastAsked{};
        transport::TimePoint lastTested{};
        int failures = 0;
    };

    /// A host that returns may not know it yet and refuse, so that it needs a successful test
    /// first.
    void holdUnavailable(const state::ClusterView &view, transport::TimePoint now);
    std::vector<std::string> takeDueHosts();
    static boost::asio::awaitable<void> probe(std::shared_ptr<EntryProber> self, std::string host);
    void record(const std::string &host, bool answered);

    transport::Runtime &runtime_;
    const EntryHooks hooks_;
    const std::string self_;
    const std::uint16_t entryPort_;
    std::atomic<bool> ended_ = false;
    std::mutex mutex_;
    std::map<std::string, Probe, std::less<>> probes_;
};

} // namespace persimmon::entry
