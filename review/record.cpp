#include "review/record.h"

#include <algorithm>

namespace persimmon::review {

void Record::add(const std::string &kind, const std::string &requestId, const std::string &detail)
{
    const std::lock_guard lock(mutex_);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start_);
    events_.push_back({kind, requestId, detail});
    file_ << time.count() << " ms: " << kind << " " << requestId
          << (detail.empty() ? "" : ": " + detail) << "\n";
}

void Record::note(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    file_ << text << std::endl;
}

std::map<std::string, std::vector<std::string>> Record::detailsOf(const std::string &kind) const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::vector<std::string>> details;
    for (const auto &event : events_) {
        if (event.kind == kind)
            details[event.requestId].push_back(event.detail);
    }
    return details;
}

std::size_t Record::count(const std::string &kind) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
            events_.begin(), events_.end(), [&](const auto &event) { return event.kind == kind; }));
}

} // namespace persimmon::review
