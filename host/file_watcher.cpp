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
    known_ = look();
    runtime_.spawn(run());
}

asio::awaitable<void> FileWatcher::run()
{
    while (true) {
        co_await runtime_.clock().sleep(Interval);
        const auto stamp = look();
        if (!stamp || stamp == known_)
            continue;
        known_ = stamp;
        onChange_();
    }
}

std::optional<FileWatcher::Stamp> FileWatcher::look() const
{
    std::error_code error;
    Stamp stamp;
    stamp.time = std::filesystem::last_write_time(path_, error);
    if (error)
        return std::nullopt;
    stamp.size = std::filesystem::file_size(path_, error);
    return error ? std::nullopt : std::optional(stamp);
}

} // namespace persimmon::host
