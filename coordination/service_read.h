#pragma once

#include "coordination/platform_client.h"
#include "coordination/shared_view_store.h"

namespace persimmon::coordination {

/// Reads configuration changes once and merges them.
/// @return whether the service answered.
boost::asio::awaitable<bool> readConfigInto(SharedViewStore &store, PlatformClient &client,
                                            transport::Clock &clock,
                                            std::chrono::milliseconds wait);

/// Reads the host list once and merges it; see readConfigInto().
boost::asio::awaitable<bool> readHostsInto(SharedViewStore &store, PlatformClient &client,
                                           transport::Clock &clock, std::chrono::milliseconds wait);

} // namespace persimmon::coordination
