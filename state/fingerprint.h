#pragma once

#include <cstdint>
#include <string_view>

namespace persimmon::state {

/// @param group group that the query searches.
/// @param query query object as canonical JSON text.
/// @return the xxHash64 of both, which is the same on every host.
std::uint64_t queryFingerprint(std::string_view group, std::string_view query);

} // namespace persimmon::state
