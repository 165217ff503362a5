#pragma once

#include "transport/transport.h"

#include <algorithm>
#include <random>

namespace persimmon::coordination {

/// Bounds of the time between two direct reads of the service by one process.
inline constexpr std::chrono::milliseconds DirectReadLeast{2000};
inline constexpr std::chrono::milliseconds DirectReadMost{4000};
/// Above this number of entry hosts the interval grows with it, so that the service's 2,000 reads/s
/// hold.
inline constexpr std::size_t DirectReadHosts = 1000;

/// @return a random duration between @p least and @p most.
inline std::chrono::milliseconds jitter(std::chrono::milliseconds least,
                                        std::chrono::milliseconds most)
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> distribution(least.count(), most.count());
    return std::chrono::milliseconds(distribution(random));
}

/// @param entryHosts number of entry hosts in the host list.
/// @return time until the next direct read of the service.
inline std::chrono::milliseconds directReadInterval(std::size_t entryHosts)
{
    const auto interval = jitter(DirectReadLeast, DirectReadMost);
    return interval * std::max(entryHosts, DirectReadHosts) / DirectReadHosts;
}

} // namespace persimmon::coordination
