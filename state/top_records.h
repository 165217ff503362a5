#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// Size of one record of a part, in bytes.
inline constexpr std::size_t RecordBytes = 16;

/// Merges the records of parts. Equal records all count; a remainder of a part that is shorter than
/// a record is none.
/// @param parts bodies of the parts, whose records are in any order.
/// @param count most records of the result.
/// @return the greatest records, greatest first, compared byte by byte.
std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace persimmon::state
