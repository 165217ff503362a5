#pragma once

#include "coordination/coordination_error.h"
#include "coordination/shared_view_store.h"

namespace persimmon::coordination {

/// Name of the JSON-RPC method for the view exchange.
inline constexpr const char *ExchangeMethod = "exchange";

/// Makes one exchange with the process behind @p client and merges its reply into @p store.
/// @return whether the answerer is ready, or why there is no answer.
boost::asio::awaitable<CoordinationResult<bool>> exchange(transport::RpcClient &client,
                                                          SharedViewStore &store,
                                                          transport::Clock &clock,
                                                          transport::Duration timeout);

/// Merges a request and answers it.
/// @param parameters parameters of the JSON-RPC call.
/// @return the JSON-RPC result.
/// @throws std::runtime_error when the parameters are no valid request.
Json::Value answerExchange(const Json::Value &parameters, SharedViewStore &store,
                           transport::TimePoint now);

} // namespace persimmon::coordination
