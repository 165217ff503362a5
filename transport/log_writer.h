#pragma once

#include "transport/runtime.h"

#include <cstdint>
#include <string>

namespace persimmon::transport {

/// Writes log lines to standard output without ever blocking. Lines that exceed the rate or find
/// the buffer full are counted and dropped; the next line that fits tells how many. For one-thread
/// runtimes only; must outlive the runtime's handlers.
class LogWriter
{
public:
    /// Largest number of bytes that wait for standard output.
    static constexpr std::size_t BufferLimit = 128U * 1024U;
    /// Bytes that may be logged in a second: at 250 bytes a line, about three lines for each of 300
    /// requests a second, several times the usual load of a small host.
    static constexpr std::size_t BytesPerSecond = 256U * 1024U;
    static constexpr std::chrono::milliseconds FlushInterval{200};

    explicit LogWriter(Runtime &runtime) : runtime_(runtime) {}

    /// Makes standard output non-blocking and takes all lines of the process.
    void install();

    /// Takes one line; exposed for tests.
    void append(const std::string &line);

    /// Writes what standard output takes now.
    void flush();

    std::uint64_t dropped() const { return dropped_; }
    std::size_t buffered() const { return buffer_.size(); }

private:
    boost::asio::awaitable<void> flushLater();

    Runtime &runtime_;
    std::string buffer_;
    TimePoint second_{};
    std::size_t bytesInSecond_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
    bool flushing_ = false;
};

} // namespace persimmon::transport
