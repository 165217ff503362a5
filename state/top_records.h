#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// Size of one record, in bytes.
inline constexpr std::size_t RecordBytes = 16;

/// Merges the records of partial results. Duplicate records are kept; a trailing fragment shorter
/// than a record is ignored.
/// @param parts bodies of the partial results, with their records in any order.
/// @param count maximum number of records in the result.
/// @return the greatest records, greatest first, compared as unsigned bytes.
std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace persimmon::state
