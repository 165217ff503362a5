#include "review/standin/platform_store.h"

namespace persimmon::review {

namespace {

constexpr std::size_t PageItems = 500;

std::string encodeBase64(const std::string &bytes)
{
    constexpr const char *Letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8U
                    | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i) {
            const bool padding = at + i > bytes.size();
            text += padding ? '=' : Letters[group >> (18U - 6U * i) & 63U];
        }
    }
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = decodePercent(part.substr(equals + 1));
        at = end;
    }
    return query;
}

std::string jsonResponse(int status, const std::string &body)
{
    return formatResponse(status, {"Content-Type: application/json"}, body);
}

} // namespace

PlatformStore::PlatformStore(const std::string &ip, int hostCount)
{
    for (int host = 0; host < hostCount; ++host) {
        servers_.push_back(std::make_unique<HttpServer>(
                ip, [this, host](const HttpMessage &request) { return handle(host, request); }));
    }
}

PlatformStore::~PlatformStore()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    servers_.clear();
}

SteadyTime PlatformStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    const auto revision = std::to_string(++revision_);
    const auto item = R"({"key":")" + key + R"(","value":")" + encodeBase64(value)
                      + R"(","revision":)" + revision + R"(,"created":)" + revision
                      + R"(,"lease":0})";
    items_[key] = item;
    add({key, revision_, item});
    return std::chrono::steady_clock::now();
}

SteadyTime PlatformStore::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto revision = std::to_string(++revision_);
    items_.erase(key);
    add({key, revision_,
         R"({"key":")" + key + R"(","revision":)" + revision + R"(,"deleted":true})"});
    return std::chrono::steady_clock::now();
}

void PlatformStore::add(Change change)
{
    history_.push_back(std::move(change));
    changed_.notify_all();
}

bool PlatformStore::wasReadBy(int host, std::chrono::milliseconds time) const
{
    const std::lock_guard lock(mutex_);
    const auto found = lastCall_.find(host);
    return found != lastCall_.end() && std::chrono::steady_clock::now() - found->second < time;
}

std::string PlatformStore::handle(int host, const HttpMessage &request)
{
    const auto target = request.secondWord();
    const auto query = parseQuery(target);
    {
        const std::lock_guard lock(mutex_);
        lastCall_[host] = std::chrono::steady_clock::now();
    }
    const auto path = target.substr(0, target.find('?'));
    if (path == "/kv-range")
        return handleRange(query);
    if (path == "/kv-watch")
        return handleWatch(query);
    return jsonResponse(404, "{}");
}

std::string PlatformStore::handleRange(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(mutex_);
    const auto prefix = query.contains("prefix") ? query.at("prefix") : "";
    const auto after = query.contains("after") ? query.at("after") : "";
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto &[key, item] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        more = count == PageItems;
        if (more)
            break;
        items.append(count++ == 0 ? "" : ",").append(item);
    }
    return jsonResponse(200, R"({"items":[)" + items + R"(],"has_more":)"
                                     + (more ? "true" : "false") + R"(,"as_of":)"
                                     + std::to_string(revision_) + "}");
}

std::string PlatformStore::handleWatch(const std::map<std::string, std::string> &query)
{
    std::unique_lock lock(mutex_);
    const auto prefix = query.contains("prefix") ? query.at("prefix") : "";
    const auto after = std::stoull(query.at("after"));
    const std::chrono::milliseconds wait(std::stoll(query.at("wait_ms")));
    changed_.wait_for(lock, wait, [&] { return stopping_ || !eventsAfter(after, prefix).empty(); });
    return jsonResponse(200, R"({"events":[)" + eventsAfter(after, prefix) + R"(],"as_of":)"
                                     + std::to_string(revision_) + "}");
}

std::string PlatformStore::eventsAfter(std::uint64_t revision, const std::string &prefix) const
{
    std::string events;
    for (const auto &change : history_) {
        if (change.revision > revision && change.key.starts_with(prefix))
            events.append(events.empty() ? "" : ",").append(change.event);
    }
    return events;
}

} // namespace persimmon::review
