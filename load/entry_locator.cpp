#include "load/entry_locator.h"

#include "protocol/caller_codec.h"

namespace asio = boost::asio;

namespace persimmon::load {

namespace {

constexpr std::chrono::milliseconds LocateTimeout{1000};

} // namespace

EntryLocator::EntryLocator(transport::Runtime &runtime, ConnectionPool &pool,
                           std::vector<transport::Endpoint> entries)
    : runtime_(runtime),
      pool_(pool),
      entries_(std::move(entries))
{
}

asio::awaitable<LoadResult<EntryLocation>> EntryLocator::locate(std::string caller,
                                                                std::string profile)
{
    const auto cached = locations_.find(caller);
    if (cached != locations_.end() && cached->second.validUntil > runtime_.clock().now())
        co_return cached->second;
    locations_.erase(caller);
    const transport::HttpRequest request{"GET",
                                         "/v1/locate?caller=" + caller + "&profile=" + profile, ""};
    for (std::size_t attempt = 0; attempt < entries_.size(); ++attempt) {
        const auto endpoint = entries_[next_++ % entries_.size()];
        ++requests_;
        const auto response = co_await pool_.send(endpoint, request, LocateTimeout);
        if (!isOk(response) || valueOf(response).status != 200)
            continue;
        const auto answer = protocol::decodeLocateResponse(valueOf(response).body);
        if (!isOk(answer))
            continue;
        update(caller, valueOf(answer));
        const auto found = locations_.find(caller);
        if (found != locations_.end())
            co_return found->second;
    }
    co_return LoadError{LoadErrorCode::NoEntry, "no entry returned a valid location"};
}

void EntryLocator::update(const std::string &caller, const protocol::LocateResponse &answer)
{
    const auto endpoint = transport::parseEndpoint(answer.address);
    if (!isOk(endpoint))
        return;
    locations_[caller] = {valueOf(endpoint), answer.home, runtime_.clock().now() + answer.validFor};
}

} // namespace persimmon::load
