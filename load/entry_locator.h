#pragma once

#include "load/connection_pool.h"
#include "load/load_error.h"
#include "protocol/caller_messages.h"

#include <map>

namespace persimmon::load {

/// Entry to which a caller sends its queries.
struct EntryLocation
{
    transport::Endpoint endpoint;
    /// Prefix of the request ids that this entry handles: host, incarnation and epoch.
    std::string home;
    transport::TimePoint validUntil;
};

/// Locates the entry of each caller with locate requests and caches the result while it is valid.
class EntryLocator
{
public:
    EntryLocator(transport::Runtime &runtime, ConnectionPool &pool,
                 std::vector<transport::Endpoint> entries);

    /// @return the location of @p caller, or NoEntry if no entry returns a valid one.
    boost::asio::awaitable<LoadResult<EntryLocation>> locate(std::string caller,
                                                             std::string profile);

    /// Removes the cached location of @p caller, after its entry failed.
    void invalidate(const std::string &caller) { locations_.erase(caller); }

    /// Updates the cached location of @p caller from an answer or a redirect of an entry. Ignores
    /// an invalid address.
    void update(const std::string &caller, const protocol::LocateResponse &answer);

    /// @return number of locate requests sent.
    std::uint64_t requests() const { return requests_; }

private:
    transport::Runtime &runtime_;
    ConnectionPool &pool_;
    std::vector<transport::Endpoint> entries_;
    std::size_t next_ = 0;
    std::map<std::string, EntryLocation> locations_;
    std::uint64_t requests_ = 0;
};

} // namespace persimmon::load
