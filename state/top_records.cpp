#include "state/top_records.h"

#include <algorithm>
#include <functional>

namespace persimmon::state {

std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const auto part : parts) {
        for (std::size_t at = 0; at + RecordBytes <= part.size(); at += RecordBytes)
            records.push_back(part.substr(at, RecordBytes));
    }
    const auto kept = std::min(count, records.size());
    // char_traits<char> compares as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * RecordBytes);
    for (std::size_t i = 0; i < kept; ++i)
        merged.append(records[i]);
    return merged;
}

} // namespace persimmon::state
