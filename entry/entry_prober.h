#pragma once

#include "entry/entry_hooks.h"

#include <map>
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

    /// Tests the noted hosts again and again; runs for the life of the process.
    boost::asio::awaitable<void> watch();

private:
    struct Probe
    {
        transport::TimePoint lastAsked{};
        transport::TimePoint lastTested{};
        int failures = 0;
    };

    std::vector<std::string> takeDueHosts();
    boost::asio::awaitable<void> probe(std::string host);
    void record(const std::string &host, bool answered);

    transport::Runtime &runtime_;
    const EntryHooks hooks_;
    const std::string self_;
    const std::uint16_t entryPort_;
    std::mutex mutex_;
    std::map<std::string, Probe, std::less<>> probes_;
};

} // namespace persimmon::entry
