#pragma once

#include "coordination/coordination_error.h"
#include "coordination/shared_view_store.h"

namespace persimmon::coordination {

/// JSON-RPC method of the view exchange.
inline constexpr const char *ViewExchangeMethod = "exchange";

/// Performs one view exchange through @p client and merges the reply into @p store.
/// @return whether the responder is ready, or the error.
boost::asio::awaitable<CoordinationResult<bool>> exchangeView(transport::RpcClient &client,
                                                              SharedViewStore &store,
                                                              transport::Clock &clock,
                                                              transport::Duration timeout);

/// Merges the view of a request into @p store and creates the reply.
/// @param parameters parameters of the JSON-RPC request.
/// @return the JSON-RPC result.
/// @throws std::runtime_error if the parameters are not a valid view request.
Json::Value handleViewExchange(const Json::Value &parameters, SharedViewStore &store,
                               transport::TimePoint now);

} // namespace persimmon::coordination
