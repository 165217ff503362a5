#pragma once

#include "transport/transport.h"

#include <filesystem>
#include <functional>
#include <optional>
#include <string>

namespace persimmon::host {

/// Reports changes of a file that nobody announces. Compares time and size, so that an unchanged
/// file costs one system call a look. For one-thread runtimes only; must outlive the runtime's
/// handlers.
class FileWatcher
{
public:
    /// Time between two looks.
    static constexpr std::chrono::milliseconds Interval{1000};

    /// @param onChange called after each change, also after the file was replaced.
    FileWatcher(transport::Runtime &runtime, std::string path, std::function<void()> onChange);

    void start();

private:
    struct Stamp
    {
        std::filesystem::file_time_type time;
        std::uintmax_t size = 0;

        bool operator==(const Stamp &) const = default;
    };

    boost::asio::awaitable<void> run();
    /// @return nothing while the file cannot be read, for example while it is being replaced.
    std::optional<Stamp> look() const;

    transport::Runtime &runtime_;
    const std::string path_;
    const std::function<void()> onChange_;
    std::optional<Stamp> known_;
};

} // namespace persimmon::host
