#pragma once

#include "transport/runtime.h"

#include <cstdint>
#include <string>

namespace persimmon::transport {

/// Writes log lines to standard output without blocking. Lines that exceed the rate limit or the
/// buffer are dropped and counted; a line with their number precedes the next accepted line. For
/// single-threaded runtimes only; must outlive the runtime's handlers.
class LogWriter
{
public:
    /// Maximum number of buffered bytes.
    static constexpr std::size_t MaxBufferedBytes = 128U * 1024U;
    /// Rate limit in bytes per second. At 250 bytes per line it permits about three lines for each
    /// of 300 requests per second, several times the usual load of a small host.
    static constexpr std::size_t MaxBytesPerSecond = 256U * 1024U;
    static constexpr std::chrono::milliseconds FlushInterval{200};

    explicit LogWriter(Runtime &runtime) : runtime_(runtime) {}

    /// Makes standard output non-blocking and installs this writer as the log sink of the process.
    void install();

    /// Buffers one line, or drops it when a limit is exceeded. Public for tests.
    void append(const std::string &line);

    /// Writes as many buffered lines as standard output accepts without blocking.
    void flush();

    std::uint64_t dropped() const { return dropped_; }
    std::size_t buffered() const { return buffer_.size(); }

private:
    boost::asio::awaitable<void> flushPeriodically();

    Runtime &runtime_;
    std::string buffer_;
    TimePoint rateWindowStart_{};
    std::size_t bytesInWindow_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDrops_ = 0;
    bool flushTaskRunning_ = false;
};

} // namespace persimmon::transport
