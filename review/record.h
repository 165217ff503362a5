#pragma once

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace persimmon::review {

/// What was sent, run and answered, with the time of each event since the start. Writes one line
/// for each to a file. Thread-safe.
class Record
{
public:
    struct Event
    {
        std::string kind;
        std::string requestId;
        std::string detail;
    };

    explicit Record(const std::string &path) : file_(path) {}

    void add(const std::string &kind, const std::string &requestId, const std::string &detail = "");

    /// Writes a line that is no event.
    void note(const std::string &text);

    /// @return the events of one kind by the request's id.
    std::map<std::string, std::vector<std::string>> detailsOf(const std::string &kind) const;

    std::size_t count(const std::string &kind) const;

private:
    mutable std::mutex mutex_;
    std::ofstream file_;
    std::vector<Event> events_;
    const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

} // namespace persimmon::review
