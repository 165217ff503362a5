#pragma once

#include "protocol/caller_messages.h"
#include "protocol/config_documents.h"

#include <chrono>
#include <cstddef>

namespace persimmon::protocol {

/// Most sub-requests or shard names in one frame: a shard holds at least one position of the key
/// space.
inline constexpr std::uint32_t FrameShardLimit = KeySpaceSize;
/// Longest query text in a frame, in bytes. Canonical text can be longer than the caller's text,
/// since it escapes control characters and writes numbers with an exponent.
inline constexpr std::size_t FrameQueryLimit = 4 * CallerBodyLimit;
/// Longest items text in a frame, in bytes; the frame itself has the same limit.
inline constexpr std::size_t FrameItemsLimit = 8U * 1024U * 1024U;
/// Longest time left that a batch may state.
inline constexpr std::chrono::microseconds FrameTimeLimit = std::chrono::hours(24);
/// Largest extra load that a batch may state.
inline constexpr double FrameExtraLoadLimit = 0.5;

} // namespace persimmon::protocol
