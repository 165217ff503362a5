#pragma once

#include <algorithm>
#include <cstddef>
#include <ctime>
#include <malloc.h>

namespace persimmon::measure {

/// @return bytes currently allocated from the heap of this process.
inline std::size_t allocatedHeapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// @return CPU time used by this thread, in microseconds.
inline double threadCpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// @return mean CPU time of one call of @p work over @p repeats calls, in microseconds.
template <typename Work>
double meanCpuTime(int repeats, Work work)
{
    const double startedAt = threadCpuMicroseconds();
    for (int i = 0; i < repeats; ++i)
        work();
    return (threadCpuMicroseconds() - startedAt) / repeats;
}

/// @return the minimum of three meanCpuTime() results, in microseconds. Cache evictions by other
///         processes can only increase CPU time, so the minimum is the least disturbed result.
///         Every call of @p work must cost the same.
template <typename Work>
double minCpuTime(int repeats, Work work)
{
    constexpr int Runs = 3;
    double min = meanCpuTime(repeats, work);
    for (int i = 1; i < Runs; ++i)
        min = std::min(min, meanCpuTime(repeats, work));
    return min;
}

/// @return heap bytes allocated by @p make and still in use by its result.
template <typename Make>
double retainedHeapBytes(Make make)
{
    const auto before = allocatedHeapBytes();
    const auto result = make();
    return static_cast<double>(allocatedHeapBytes()) - static_cast<double>(before);
}

} // namespace persimmon::measure
