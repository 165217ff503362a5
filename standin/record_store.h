#pragma once

#include "transport/transport.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace persimmon::standin {

/// Stand-in of the platform's store: items with revisions, range reads in pages, and watches with a
/// history. Thread-safe; must outlive the runtime's handlers.
class RecordStore
{
public:
    /// Items of one page.
    static constexpr std::size_t PageSize = 5;

    explicit RecordStore(transport::Runtime &runtime);

    /// @param endpoint address to listen on; port 0 takes a free one.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Writes a key.
    /// @param value any bytes.
    void put(const std::string &key, const std::string &value);

    void remove(const std::string &key);

    /// Forgets the history, so that watches of older revisions are told so.
    void compact();

    /// Answers all calls with 503 from now on, or serves again.
    void setDown(bool down) { down_ = down; }

    /// @return number of calls.
    std::uint64_t calls() const { return calls_; }

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    boost::asio::awaitable<transport::HttpResponse> answer(transport::HttpRequest request);
    transport::HttpResponse answerRange(const std::string &prefix, const std::string &after);
    boost::asio::awaitable<transport::HttpResponse>
    answerWatch(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait);
    std::optional<transport::HttpResponse> changesAfter(const std::string &prefix,
                                                        std::uint64_t after, bool evenNone);

    transport::Runtime &runtime_;
    transport::HttpServer server_;
    std::atomic<bool> down_ = false;
    std::atomic<std::uint64_t> calls_ = 0;
    std::mutex mutex_;
    std::map<std::string, Item> items_;
    std::deque<Item> history_;
    std::uint64_t revision_ = 0;
    std::uint64_t historyStart_ = 0;
};

} // namespace persimmon::standin
