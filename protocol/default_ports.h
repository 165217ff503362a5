#pragma once

#include <cstdint>

namespace persimmon::protocol {

// Default TCP ports of the daemons on an entry host.
inline constexpr std::uint16_t EntryPort = 7100;
inline constexpr std::uint16_t EntryAdminPort = 7101;
inline constexpr std::uint16_t DispatchPort = 7200;
inline constexpr std::uint16_t DispatchAdminPort = 7201;
inline constexpr std::uint16_t AgentPort = 7300;
inline constexpr std::uint16_t AgentAdminPort = 7301;

} // namespace persimmon::protocol
