#include "standin/simulated_key_value_store.h"

#include "protocol/base64.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <algorithm>

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
    write(key, value, false);
}

void SimulatedKeyValueStore::remove(const std::string &key)
{
    write(key, "", true);
}

void SimulatedKeyValueStore::write(const std::string &key, const std::string &value, bool deleted)
{
    const std::lock_guard lock(mutex_);
    history_.push_back({key, value, history_.size() + 1, deleted, runtime_.clock().now()});
    if (deleted)
        items_.erase(key);
    else
        items_[key] = history_.back();
}

void SimulatedKeyValueStore::compact()
{
    const std::lock_guard lock(mutex_);
    historyStart_ = history_.size();
}

void SimulatedKeyValueStore::restore(std::uint64_t revision)
{
    const std::lock_guard lock(mutex_);
    history_.resize(std::min<std::size_t>(revision, history_.size()));
    historyStart_ = std::min<std::uint64_t>(historyStart_, history_.size());
    items_.clear();
    for (const auto &item : history_) {
        if (item.deleted)
            items_.erase(item.key);
        else
            items_[item.key] = item;
    }
    ++era_;
}

std::uint64_t SimulatedKeyValueStore::revisionBefore(std::chrono::milliseconds age) const
{
    const auto time = runtime_.clock().now() - age;
    const std::lock_guard lock(mutex_);
    return static_cast<std::uint64_t>(
            std::count_if(history_.begin(), history_.end(),
                          [time](const Item &item) { return item.writtenAt <= time; }));
}

std::uint64_t SimulatedKeyValueStore::revision() const
{
    const std::lock_guard lock(mutex_);
    return history_.size();
}

asio::awaitable<transport::HttpResponse>
SimulatedKeyValueStore::handle(transport::HttpRequest request)
{
    ++requests_;
    auto response = co_await dispatch(std::move(request));
    response.fields.push_back({EraField, std::to_string(era_)});
    co_return response;
}

asio::awaitable<transport::HttpResponse>
SimulatedKeyValueStore::dispatch(transport::HttpRequest request)
{
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
    const json::object page{{"items", rows}, {"has_more", hasMore}, {"as_of", history_.size()}};
    return {200, json::serialize(page)};
}

std::optional<transport::HttpResponse>
SimulatedKeyValueStore::changesAfter(const std::string &prefix, std::uint64_t after,
                                     bool allowEmpty)
{
    const std::lock_guard lock(mutex_);
    if (after < historyStart_ || after > history_.size())
        return transport::HttpResponse(410, "{}");
    json::array events;
    for (const auto &item : history_) {
        if (item.revision > after && item.key.starts_with(prefix))
            events.push_back(encodeItem(item));
    }
    if (events.empty() && !allowEmpty)
        return std::nullopt;
    const json::object changes{{"events", events}, {"as_of", history_.size()}};
    return transport::HttpResponse(200, json::serialize(changes));
}

asio::awaitable<transport::HttpResponse>
SimulatedKeyValueStore::handleWatch(std::string prefix, std::uint64_t after,
                                    std::chrono::milliseconds wait)
{
    const auto end = runtime_.clock().now() + wait;
    const auto era = era_.load();
    while (true) {
        const bool timedOut = runtime_.clock().now() >= end;
        if (down_ || era != era_)
            co_return transport::HttpResponse(503, "{}");
        if (auto response = changesAfter(prefix, after, timedOut))
            co_return *response;
        co_await runtime_.clock().sleep(WatchPollInterval);
    }
}

} // namespace persimmon::standin
