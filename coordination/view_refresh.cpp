#include "coordination/view_refresh.h"

namespace asio = boost::asio;

namespace persimmon::coordination {

asio::awaitable<bool> refreshConfig(SharedViewStore &store, ConfigServiceClient &client,
                                    transport::Clock &clock, std::chrono::milliseconds wait)
{
    const auto since =
            store.read([&](auto &views) { return views.configReadPosition(clock.now()); });
    const auto reply = co_await client.readConfig(since, wait);
    if (!isOk(reply))
        co_return false;
    store.update([&](auto &views) { return views.applyConfig(valueOf(reply), clock.now()); });
    co_return true;
}

asio::awaitable<bool> refreshHosts(SharedViewStore &store, ConfigServiceClient &client,
                                   transport::Clock &clock, std::chrono::milliseconds wait)
{
    const auto since =
            store.read([&](auto &views) { return views.hostsReadPosition(clock.now()); });
    const auto reply = co_await client.readHosts(since, wait);
    if (!isOk(reply))
        co_return false;
    store.update([&](auto &views) { return views.applyHosts(valueOf(reply), clock.now()); });
    co_return true;
}

} // namespace persimmon::coordination
