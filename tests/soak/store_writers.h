#pragma once

#include "tests/system/platform_cluster.h"

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace persimmon::tests {

/// The operator and the upstreams of a soak run, which write to the platform's store. After a
/// restore of the store they write again what it has lost.
class StoreWriters
{
public:
    using Clock = std::chrono::steady_clock;

    StoreWriters(PlatformCluster &cluster, std::uint32_t seed);

    /// Writes a configuration with the routes /g/ and /vN/, where N is @p version or the version
    /// before it.
    void putConfig(int version);
    void registerUpstream(const std::string &id, const std::string &state);
    void deregisterUpstream(const std::string &id);

    /// Restores the store from a copy that is @p age old, or from that of the first configuration,
    /// and schedules the repetition of the lost
    /// writes.
    void restoreStore(std::chrono::milliseconds age);

    /// Performs the repeated writes that are due.
    /// @return whether none is left.
    bool writeDue();

private:
    struct LastWrite
    {
        std::function<void()> write;
        bool deletes = false;
        /// Revision of the store after the write.
        std::uint64_t revision = 0;
        /// Time of the repetition; the epoch if none is scheduled.
        Clock::time_point dueAt{};
    };

    void write(const std::string &name, bool deletes, const std::function<void()> &write);

    PlatformCluster &cluster_;
    std::mt19937 random_;
    /// Revision of the first configuration, which the platform writes before traffic starts.
    std::uint64_t firstRevision_ = 0;
    /// Last write of each writer by its name.
    std::map<std::string, LastWrite> lastWrites_;
};

} // namespace persimmon::tests
