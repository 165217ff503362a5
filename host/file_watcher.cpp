#include "host/file_watcher.h"

namespace asio = boost::asio;

namespace persimmon::host {

FileWatcher::FileWatcher(transport::Runtime &runtime, std::string path,
                         std::function<void()> onChange)
    : runtime_(runtime),
      path_(std::move(path)),
      onChange_(std::move(onChange))
{
}

void FileWatcher::start()
{
    lastStamp_ = readStamp();
    runtime_.spawn(poll());
}

asio::awaitable<void> FileWatcher::poll()
{
    while (true) {
        co_await runtime_.clock().sleep(PollInterval);
        const auto stamp = readStamp();
        if (!stamp || stamp == lastStamp_)
            continue;
        lastStamp_ = stamp;
        onChange_();
    }
}

std::optional<FileWatcher::FileStamp> FileWatcher::readStamp() const
{
    std::error_code error;
    FileStamp stamp;
    stamp.modifiedAt = std::filesystem::last_write_time(path_, error);
    if (error)
        return std::nullopt;
    stamp.size = std::filesystem::file_size(path_, error);
    return error ? std::nullopt : std::optional(stamp);
}

} // namespace persimmon::host
