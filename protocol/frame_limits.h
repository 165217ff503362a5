#pragma once

#include "protocol/caller_messages.h"
#include "protocol/config_documents.h"

#include <chrono>
#include <cstddef>

namespace persimmon::protocol {

/// Maximum number of sub-requests or shard names in one frame: a shard covers at least one position
/// of the key space.
inline constexpr std::uint32_t FrameShardLimit = KeySpaceSize;
/// Maximum size of the query text in a frame, in bytes. Canonical text can be longer than the text
/// sent by the caller, since control characters are escaped and numbers written with an exponent.
inline constexpr std::size_t FrameQueryLimit = 4 * CallerBodyLimit;
/// Maximum size of the items text in a frame, in bytes; the frame itself has the same limit.
inline constexpr std::size_t FrameItemsLimit = 8U * 1024U * 1024U;
/// Maximum time left until the deadline of a batch.
inline constexpr std::chrono::microseconds FrameTimeLimit = std::chrono::hours(24);
/// Maximum extra-load ratio of a batch.
inline constexpr double FrameExtraLoadLimit = 0.5;

} // namespace persimmon::protocol
