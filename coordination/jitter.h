#pragma once

#include "transport/transport.h"

#include <algorithm>
#include <random>

namespace persimmon::coordination {

/// Bounds of the interval between two direct reads of the configuration service by one process.
inline constexpr std::chrono::milliseconds MinDirectReadInterval{2000};
inline constexpr std::chrono::milliseconds MaxDirectReadInterval{4000};
/// Above this number of entry hosts the interval grows in proportion to it, to stay within the
/// service's limit of 2,000 reads/s.
inline constexpr std::size_t DirectReadBaseHosts = 1000;

/// Upper bound of the combined read rate of all agents that start at the same time. The rest of the
/// service's limit of 2,000 reads/s is reserved for watches.
inline constexpr std::size_t MaxStartupReadsPerSecond = 1600;

/// @return a uniformly distributed random duration from @p min to @p max.
inline std::chrono::milliseconds jitter(std::chrono::milliseconds min,
                                        std::chrono::milliseconds max)
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> distribution(min.count(), max.count());
    return std::chrono::milliseconds(distribution(random));
}

/// @param entryHosts number of entry hosts in the host list.
/// @return random delay before the next direct read of the configuration service.
inline std::chrono::milliseconds directReadInterval(std::size_t entryHosts)
{
    const auto interval = jitter(MinDirectReadInterval, MaxDirectReadInterval);
    return interval * std::max(entryHosts, DirectReadBaseHosts) / DirectReadBaseHosts;
}

/// @param entryHosts number of entry hosts in the host list, 0 while the list is unknown.
/// @param reads number of reads per agent at startup.
/// @return random delay before the first read of an agent. The window is sized so that the agents
///         of all hosts stay within MaxStartupReadsPerSecond.
inline std::chrono::milliseconds startupReadDelay(std::size_t entryHosts, std::size_t reads)
{
    const auto window =
            std::chrono::milliseconds(entryHosts * reads * 1000 / MaxStartupReadsPerSecond);
    return jitter(std::chrono::milliseconds(0), window);
}

/// @param attempt number of failed attempts, starting at 1.
/// @return random delay before the next startup attempt. The window doubles up to 8 s, so that
///         agents that fail at the same time do not retry at the same time.
inline std::chrono::milliseconds startupRetryDelay(int attempt)
{
    constexpr std::chrono::milliseconds MinDelay{250};
    constexpr std::chrono::milliseconds InitialWindow{500};
    constexpr int MaxDoublings = 4;
    return jitter(MinDelay, InitialWindow * (1 << std::min(attempt - 1, MaxDoublings)));
}

} // namespace persimmon::coordination
