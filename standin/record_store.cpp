#include "standin/record_store.h"

#include "protocol/base64.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

namespace asio = boost::asio;
namespace json = boost::json;

namespace persimmon::standin {

namespace {

constexpr std::chrono::milliseconds PollInterval{10};

template <typename Item>
json::object describe(const Item &item)
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

/// Values of a query string by name.
std::map<std::string, std::string> readQuery(const std::string &target)
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

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

RecordStore::RecordStore(transport::Runtime &runtime)
    : runtime_(runtime),
      server_(runtime,
              [this](transport::HttpRequest request) { return answer(std::move(request)); })
{
}

transport::TransportResult<transport::Endpoint>
RecordStore::listen(const transport::Endpoint &endpoint)
{
    return server_.listen(endpoint);
}

void RecordStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    const Item item{key, value, ++revision_, false};
    items_[key] = item;
    history_.push_back(item);
}

void RecordStore::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    history_.push_back({key, "", ++revision_, true});
}

void RecordStore::compact()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    historyStart_ = revision_;
}

asio::awaitable<transport::HttpResponse> RecordStore::answer(transport::HttpRequest request)
{
    ++calls_;
    if (down_)
        co_return transport::HttpResponse(503, "{}");
    auto query = readQuery(request.target);
    if (query["path"] == "/kv-range")
        co_return answerRange(query["prefix"], query["after"]);
    if (query["path"] == "/kv-watch")
        co_return co_await answerWatch(query["prefix"], numberOf(query["after"]),
                                       std::chrono::milliseconds(numberOf(query["wait_ms"])));
    co_return transport::HttpResponse(404, "{}");
}

transport::HttpResponse RecordStore::answerRange(const std::string &prefix,
                                                 const std::string &after)
{
    const std::lock_guard lock(mutex_);
    json::array rows;
    bool more = false;
    for (const auto &[key, item] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        if (rows.size() == PageSize) {
            more = true;
            break;
        }
        rows.push_back(describe(item));
    }
    const json::object page{{"items", rows}, {"has_more", more}, {"as_of", revision_}};
    return {200, json::serialize(page)};
}

std::optional<transport::HttpResponse> RecordStore::changesAfter(const std::string &prefix,
                                                                 std::uint64_t after, bool evenNone)
{
    const std::lock_guard lock(mutex_);
    if (after < historyStart_)
        return transport::HttpResponse(410, "{}");
    json::array events;
    for (const auto &item : history_) {
        if (item.revision > after && item.key.starts_with(prefix))
            events.push_back(describe(item));
    }
    if (events.empty() && !evenNone)
        return std::nullopt;
    const json::object changes{{"events", events}, {"as_of", revision_}};
    return transport::HttpResponse(200, json::serialize(changes));
}

asio::awaitable<transport::HttpResponse>
RecordStore::answerWatch(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    const auto end = runtime_.clock().now() + wait;
    while (true) {
        const bool over = runtime_.clock().now() >= end;
        if (down_)
            co_return transport::HttpResponse(503, "{}");
        if (auto response = changesAfter(prefix, after, over))
            co_return *response;
        co_await runtime_.clock().sleep(PollInterval);
    }
}

} // namespace persimmon::standin
