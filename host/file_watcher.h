#pragma once

#include "transport/transport.h"

#include <filesystem>
#include <functional>
#include <optional>
#include <string>

namespace persimmon::host {

/// Polls a file that may change without notification. Compares the modification time and the size,
/// so that an unchanged file is not read. Requires a single-threaded runtime and must outlive the
/// runtime's handlers.
class FileWatcher
{
public:
    static constexpr std::chrono::milliseconds PollInterval{1000};

    /// @param onChange called after each change, including replacement of the file.
    FileWatcher(transport::Runtime &runtime, std::string path, std::function<void()> onChange);

    void start();

private:
    struct FileStamp
    {
        std::filesystem::file_time_type modifiedAt;
        std::uintmax_t size = 0;

        bool operator==(const FileStamp &) const = default;
    };

    boost::asio::awaitable<void> poll();
    /// @return std::nullopt if the file cannot be accessed, for example while it is being replaced.
    std::optional<FileStamp> readStamp() const;

    transport::Runtime &runtime_;
    const std::string path_;
    const std::function<void()> onChange_;
    std::optional<FileStamp> lastStamp_;
};

} // namespace persimmon::host
