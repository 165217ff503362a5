#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon::state {

/// @param group group that the query searches.
/// @param query query object as canonical JSON text.
/// @return the xxHash64 of both, which is the same on every host.
std::uint64_t queryFingerprint(std::string_view group, std::string_view query);

/// @param target path and query string.
/// @return the xxHash64 of a request that is forwarded unchanged, which is the same on every host.
std::uint64_t requestFingerprint(std::string_view method, std::string_view host,
                                 std::string_view target, std::string_view body);

/// @return the fingerprint as a hexadecimal number, for log lines.
std::string formatFingerprint(std::uint64_t fingerprint);

} // namespace persimmon::state
