#pragma once

#include "core/core.h"

namespace persimmon::protocol {

/// Scheduling priority of a request; Critical is executed first and shed last.
enum class Priority { Critical, High, Normal, Bulk };

inline constexpr std::array<EnumName<Priority>, 4> PriorityNames{{
        {Priority::Critical, "critical"},
        {Priority::High, "high"},
        {Priority::Normal, "normal"},
        {Priority::Bulk, "bulk"},
}};

} // namespace persimmon::protocol
