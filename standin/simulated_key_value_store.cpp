#include "standin/simulated_key_value_store.h"

#include "protocol/base64.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

namespace asio = boost::asio;
namespace json = boost::json;

namespace persimmon::standin {

namespace {

constexpr std::chrono::milliseconds WatchPollInterval{10};

template <typename Item>
json::object encodeItem(const Item &item)
{
    json::object row{{"key", item.key}, {"revision", item.revision}};
    if (item.deleted) {
        row["deleted"] = true;
        return row;
    }
    row["value"] = protocol::encodeBase64(item.value);
    row["created"] = item.revision;
    row["lease"] = 0;
    return row;
}

/// @return the parameters of the query string by name, and the path as "path".
std::map<std::string, std::string> parseTarget(const std::string &target)
{
    std::map<std::string, std::string> values;
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return values;
    values["path"] = parsed->path();
    for (const auto &parameter : parsed->params())
        values[parameter.key] = parameter.value;
    return values;
}

std::uint64_t parseNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

SimulatedKeyValueStore::SimulatedKeyValueStore(transport::Runtime &runtime)
    : runtime_(runtime),
      server_(runtime,
              [this](transport::HttpRequest request) { return handle(std::move(request)); })
{
}

transport::TransportResult<transport::Endpoint>
SimulatedKeyValueStore::listen(const transport::Endpoint &endpoint)
{
    return server_.listen(endpoint);
}

void SimulatedKeyValueStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    const Item item{key, value, ++revision_, false};
    items_[key] = item;
    history_.push_back(item);
}

void SimulatedKeyValueStore::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    history_.push_back({key, "", ++revision_, true});
}

void SimulatedKeyValueStore::compact()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    historyStart_ = revision_;
}

asio::awaitable<transport::HttpResponse>
SimulatedKeyValueStore::handle(transport::HttpRequest request)
{
    ++requests_;
    if (down_)
        co_return transport::HttpResponse(503, "{}");
    auto query = parseTarget(request.target);
    if (query["path"] == "/kv-range")
        co_return handleRange(query["prefix"], query["after"]);
    if (query["path"] == "/kv-watch")
        co_return co_await handleWatch(query["prefix"], parseNumber(query["after"]),
                                       std::chrono::milliseconds(parseNumber(query["wait_ms"])));
    co_return transport::HttpResponse(404, "{}");
}

transport::HttpResponse SimulatedKeyValueStore::handleRange(const std::string &prefix,
                                                            const std::string &after)
{
    const std::lock_guard lock(mutex_);
    json::array rows;
    bool hasMore = false;
    for (const auto &[key, item] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        if (rows.size() == PageSize) {
            hasMore = true;
            break;
        }
        rows.push_back(encodeItem(item));
    }
    const json::object page{{"items", rows}, {"has_more", hasMore}, {"as_of", revision_}};
    return {200, json::serialize(page)};
}

std::optional<transport::HttpResponse>
SimulatedKeyValueStore::changesAfter(const std::string &prefix, std::uint64_t after,
                                     bool allowEmpty)
{
    const std::lock_guard lock(mutex_);
    if (after < historyStart_)
        return transport::HttpResponse(410, "{}");
    json::array events;
    for (const auto &item : history_) {
        if (item.revision > after && item.key.starts_with(prefix))
            events.push_back(encodeItem(item));
    }
    if (events.empty() && !allowEmpty)
        return std::nullopt;
    const json::object changes{{"events", events}, {"as_of", revision_}};
    return transport::HttpResponse(200, json::serialize(changes));
}

asio::awaitable<transport::HttpResponse>
SimulatedKeyValueStore::handleWatch(std::string prefix, std::uint64_t after,
                                    std::chrono::milliseconds wait)
{
    const auto end = runtime_.clock().now() + wait;
    while (true) {
        const bool timedOut = runtime_.clock().now() >= end;
        if (down_)
            co_return transport::HttpResponse(503, "{}");
        if (auto response = changesAfter(prefix, after, timedOut))
            co_return *response;
        co_await runtime_.clock().sleep(WatchPollInterval);
    }
}

} // namespace persimmon::standin
