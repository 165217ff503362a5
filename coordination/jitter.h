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

/// Reads per second that all agents together make when they start at once. The rest of the
/// service's 2,000 reads/s is left to watches.
inline constexpr std::size_t StartReads = 1600;

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

/// @param entryHosts number of entry hosts in the host list, as far as it is known.
/// @param reads reads that one agent makes at its start.
/// @return time until an agent that starts reads the service, such that the agents of all hosts
///         together make at most StartReads a second.
inline std::chrono::milliseconds startReadDelay(std::size_t entryHosts, std::size_t reads)
{
    const auto window = std::chrono::milliseconds(entryHosts * reads * 1000 / StartReads);
    return jitter(std::chrono::milliseconds(0), window);
}

/// @param attempt number of failed attempts, from 1.
/// @return time until the next attempt to read the service at the start. The window doubles up to
///         8 s, so that the agents of a fleet that fail together do not return together.
inline std::chrono::milliseconds startRetryDelay(int attempt)
{
    constexpr std::chrono::milliseconds Least{250};
    constexpr std::chrono::milliseconds FirstWindow{500};
    constexpr int MostDoublings = 4;
    return jitter(Least, FirstWindow * (1 << std::min(attempt - 1, MostDoublings)));
}

} // namespace persimmon::coordination
