#pragma once

#include "core/core.h"

namespace persimmon::protocol {

/// Order in which work is served and shed; Critical is served first and shed last.
enum class Priority { Critical, High, Normal, Bulk };

inline constexpr std::array<EnumName<Priority>, 4> PriorityNames{{
        {Priority::Critical, "critical"},
        {Priority::High, "high"},
        {Priority::Normal, "normal"},
        {Priority::Bulk, "bulk"},
}};

} // namespace persimmon::protocol
