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
    if (now - second_ >= std::chrono::seconds(1)) {
        second_ = now;
        bytesInSecond_ = 0;
    }
    const auto size = line.size() + 1;
    if (buffer_.size() + size > BufferLimit || bytesInSecond_ + size > BytesPerSecond) {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_) {
        buffer_.append("{\"level\":\"warning\",\"part\":\"log\",\"message\":\"lines "
                       "dropped\",\"count\":")
                .append(std::to_string(dropped_ - reported_))
                .append("}\n");
        reported_ = dropped_;
    }
    bytesInSecond_ += size;
    buffer_.append(line).append("\n");
    if (!flushing_) {
        flushing_ = true;
        runtime_.spawn(flushLater());
    }
}

void LogWriter::flush()
{
    while (!buffer_.empty()) {
        // A pipe takes so many bytes whole or not at all, so that no line is torn.
        auto size = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
        const auto lineEnd = buffer_.rfind('\n', size - 1);
        size = lineEnd == std::string::npos ? size : lineEnd + 1;
        const auto written = ::write(STDOUT_FILENO, buffer_.data(), size);
        if (written <= 0)
            return;
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

asio::awaitable<void> LogWriter::flushLater()
{
    while (!buffer_.empty()) {
        co_await runtime_.clock().sleep(FlushInterval);
        flush();
    }
    flushing_ = false;
}

} // namespace persimmon::transport
