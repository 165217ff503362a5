#include "coordination/view_exchange.h"

#include "coordination/json_text.h"

#include <stdexcept>

namespace asio = boost::asio;

namespace persimmon::coordination {

asio::awaitable<CoordinationResult<bool>> exchangeView(transport::RpcClient &client,
                                                       SharedViewStore &store,
                                                       transport::Clock &clock,
                                                       transport::Duration timeout)
{
    const auto sentAt = clock.now();
    const auto request = store.read([&](auto &views) { return views.makeRequest(sentAt); });
    const auto parameters = parseJson(protocol::encodeViewRequest(request));
    const std::string method = ViewExchangeMethod;
    const auto result = co_await client.call(method, parameters, timeout);
    if (!isOk(result))
        co_return toCoordinationError(errorOf(result));
    const auto reply = protocol::decodeViewResponse(formatJson(valueOf(result)));
    if (!isOk(reply))
        co_return toCoordinationError(errorOf(reply));
    store.update(
            [&](auto &views) { return views.applyReply(valueOf(reply), sentAt, clock.now()); });
    co_return valueOf(reply).ready;
}

Json::Value handleViewExchange(const Json::Value &parameters, SharedViewStore &store,
                               transport::TimePoint now)
{
    const auto request = protocol::decodeViewRequest(formatJson(parameters));
    if (!isOk(request))
        throw std::runtime_error(errorOf(request).message);
    store.update([&](auto &views) { return views.applyRequest(valueOf(request), now); });
    const auto reply =
            store.read([&](auto &views) { return views.makeReply(valueOf(request), now); });
    return parseJson(protocol::encodeViewResponse(reply));
}

} // namespace persimmon::coordination
