#pragma once

#include "review/standin/http_peer.h"

#include <condition_variable>
#include <cstdint>
#include <memory>

namespace persimmon::review {

/// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): range reads and
/// watches. It has one address for each host, so that it knows which host calls.
class PlatformStore
{
public:
    PlatformStore(const std::string &ip, int hostCount);
    ~PlatformStore();
    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    const SocketAddress &addressFor(int host) const { return servers_.at(host)->address(); }

    /// Writes an item.
    /// @return when the store has accepted it.
    SteadyTime put(const std::string &key, const std::string &value);

    /// Removes an item.
    /// @return when the store has accepted it.
    SteadyTime remove(const std::string &key);

    /// @return whether @p host has called the store within the last @p time.
    bool wasReadBy(int host, std::chrono::milliseconds time) const;

private:
    struct Change
    {
        std::string key;
        std::uint64_t revision = 0;
        /// JSON of the event.
        std::string event;
    };

    std::string handle(int host, const HttpMessage &request);
    std::string handleRange(const std::map<std::string, std::string> &query);
    std::string handleWatch(const std::map<std::string, std::string> &query);
    std::string eventsAfter(std::uint64_t revision, const std::string &prefix) const;
    void add(Change change);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    bool stopping_ = false;
    /// JSON of each item.
    std::map<std::string, std::string> items_;
    std::vector<Change> history_;
    std::map<int, SteadyTime> lastCall_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
};

} // namespace persimmon::review
