#pragma once

#include "load/connection_pool.h"
#include "load/load_error.h"
#include "protocol/caller_messages.h"

#include <map>

namespace persimmon::load {

/// Where a caller sends its queries.
struct Location
{
    transport::Endpoint endpoint;
    std::string home;
    transport::TimePoint validUntil;
};

/// Asks entries which address each caller should use and keeps the answer while it is valid.
class Locator
{
public:
    Locator(transport::Runtime &runtime, ConnectionPool &pool,
            std::vector<transport::Endpoint> entries);

    /// @return the location of @p caller, or NoEntry when no entry answers.
    boost::asio::awaitable<LoadResult<Location>> locate(std::string caller, std::string profile);

    /// Forgets the location of @p caller, after its entry failed.
    void forget(const std::string &caller) { locations_.erase(caller); }

    /// Takes over the location that a refusal of an entry names.
    void replace(const std::string &caller, const protocol::LocateAnswer &answer);

    std::uint64_t requests() const { return requests_; }

private:
    transport::Runtime &runtime_;
    ConnectionPool &pool_;
    std::vector<transport::Endpoint> entries_;
    std::size_t next_ = 0;
    std::map<std::string, Location> locations_;
    std::uint64_t requests_ = 0;
};

} // namespace persimmon::load
