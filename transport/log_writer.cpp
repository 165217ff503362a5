#include "transport/log_writer.h"

#include "transport/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace asio = boost::asio;

namespace persimmon::transport {

void LogWriter::install()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    setLogSink([this](const std::string &line) { append(line); });
}

void LogWriter::append(const std::string &line)
{
    const auto now = runtime_.clock().now();
    if (now - rateWindowStart_ >= std::chrono::seconds(1)) {
        rateWindowStart_ = now;
        bytesInWindow_ = 0;
    }
    const auto size = line.size() + 1;
    if (buffer_.size() + size > MaxBufferedBytes || bytesInWindow_ + size > MaxBytesPerSecond) {
        ++dropped_;
        return;
    }
    if (dropped_ > reportedDrops_) {
        buffer_.append("{\"level\":\"warning\",\"part\":\"log\",\"message\":\"lines "
                       "dropped\",\"count\":")
                .append(std::to_string(dropped_ - reportedDrops_))
                .append("}\n");
        reportedDrops_ = dropped_;
    }
    bytesInWindow_ += size;
    buffer_.append(line).append("\n");
    if (!flushTaskRunning_) {
        flushTaskRunning_ = true;
        runtime_.spawn(flushPeriodically());
    }
}

void LogWriter::flush()
{
    while (!buffer_.empty()) {
        // Writes to a pipe of up to PIPE_BUF bytes are atomic, so that no line is split.
        auto size = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
        const auto lineEnd = buffer_.rfind('\n', size - 1);
        size = lineEnd == std::string::npos ? size : lineEnd + 1;
        const auto written = ::write(STDOUT_FILENO, buffer_.data(), size);
        if (written <= 0)
            return;
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

asio::awaitable<void> LogWriter::flushPeriodically()
{
    while (!buffer_.empty()) {
        co_await runtime_.clock().sleep(FlushInterval);
        flush();
    }
    flushTaskRunning_ = false;
}

} // namespace persimmon::transport
