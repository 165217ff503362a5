#pragma once

#include <algorithm>
#include <cstddef>
#include <ctime>
#include <malloc.h>

namespace persimmon::measure {

/// @return bytes that the allocator has handed out and not got back.
inline std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// @return processor time of this thread in microseconds.
inline double threadMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// @return processor time in microseconds of one call, as the mean of @p repeats calls.
template <typename Work>
double timeOf(int repeats, Work work)
{
    const double startedAt = threadMicroseconds();
    for (int i = 0; i < repeats; ++i)
        work();
    return (threadMicroseconds() - startedAt) / repeats;
}

/// @return the least of three timeOf() results. Other processes on the machine evict caches and so
///         raise processor time, never lower it. @p work must cost the same each time.
template <typename Work>
double leastTimeOf(int repeats, Work work)
{
    constexpr int Groups = 3;
    double least = timeOf(repeats, work);
    for (int i = 1; i < Groups; ++i)
        least = std::min(least, timeOf(repeats, work));
    return least;
}

/// @return heap bytes that the result of @p make keeps.
template <typename Make>
double bytesOf(Make make)
{
    const auto before = heapBytes();
    const auto kept = make();
    return static_cast<double>(heapBytes()) - static_cast<double>(before);
}

} // namespace persimmon::measure
