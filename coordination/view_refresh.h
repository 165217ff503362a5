#pragma once

#include "coordination/config_service_client.h"
#include "coordination/shared_view_store.h"

namespace persimmon::coordination {

/// Reads the configuration changes since the revision in @p store and merges them into it.
/// @param wait maximum time for which the service may delay the reply.
/// @return whether the service sent a valid reply.
boost::asio::awaitable<bool> refreshConfig(SharedViewStore &store, ConfigServiceClient &client,
                                           transport::Clock &clock, std::chrono::milliseconds wait);

/// Reads the host list if it changed and merges it into @p store; see refreshConfig().
boost::asio::awaitable<bool> refreshHosts(SharedViewStore &store, ConfigServiceClient &client,
                                          transport::Clock &clock, std::chrono::milliseconds wait);

} // namespace persimmon::coordination
