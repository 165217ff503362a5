#pragma once

#include "transport/transport.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::standin {

/// Simulates the platform's key-value store: items with revisions, paginated range reads, watches
/// over a change history, and restores from older copies of itself. All responses carry the era of
/// the history. Thread-safe; must outlive the runtime's handlers.
class SimulatedKeyValueStore
{
public:
    /// Maximum number of items in one page of a range read.
    static constexpr std::size_t PageSize = 5;
    /// Header field of all responses that counts the restores of the store.
    static constexpr const char *EraField = "Store-Era";
    static constexpr std::uint64_t FirstEra = 1;

    explicit SimulatedKeyValueStore(transport::Runtime &runtime);

    /// Starts listening.
    /// @param endpoint address to listen on; port 0 selects a free port.
    /// @return the bound endpoint or the error of the bind.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Sets a key.
    /// @param value arbitrary bytes.
    void put(const std::string &key, const std::string &value);

    /// Deletes a key and adds the deletion to the history.
    void remove(const std::string &key);

    /// Discards the history, so that watches from older revisions fail with 410.
    void compact();

    /// Goes back to the items that the store had at a revision. Later writes are lost and their
    /// revisions are assigned again. The era rises by one, and watches that are waiting end.
    /// @param revision at most revision(); can be older than the last compaction.
    void restore(std::uint64_t revision);

    /// @return the revision that the store had @p age ago, as far as its history is not lost.
    std::uint64_t revisionBefore(std::chrono::milliseconds age) const;

    /// @return the revision of the last change.
    std::uint64_t revision() const;

    /// Responds to all requests with 503 while @p down is true.
    void setDown(bool down) { down_ = down; }

    /// @return number of HTTP requests received.
    std::uint64_t requests() const { return requests_; }

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
        transport::TimePoint writtenAt{};
    };

    void write(const std::string &key, const std::string &value, bool deleted);

    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> dispatch(transport::HttpRequest request);
    transport::HttpResponse handleRange(const std::string &prefix, const std::string &after);
    boost::asio::awaitable<transport::HttpResponse>
    handleWatch(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait);
    /// @return 200 with the changes after revision @p after, 410 if the history no longer reaches
    /// back to it, or std::nullopt if there are no changes and @p allowEmpty is false.
    std::optional<transport::HttpResponse> changesAfter(const std::string &prefix,
                                                        std::uint64_t after, bool allowEmpty);

    transport::Runtime &runtime_;
    transport::HttpServer server_;
    std::atomic<bool> down_ = false;
    std::atomic<std::uint64_t> requests_ = 0;
    std::atomic<std::uint64_t> era_ = FirstEra;
    mutable std::mutex mutex_;
    std::map<std::string, Item> items_;
    /// All writes of this history, from revision 1, also those before historyStart_.
    std::vector<Item> history_;
    /// Watches from earlier revisions fail.
    std::uint64_t historyStart_ = 0;
};

} // namespace persimmon::standin
