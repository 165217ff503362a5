#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace persimmon::forward {

/// The connections that have carried an attempt of one sub-request. An upstream may repeat the
/// response to an earlier attempt, and the request id does not tell the copy from the response to a
/// later one: all attempts have the same id. Each therefore needs a connection of its own.
class UsedConnections
{
public:
    /// @param connection number of the connection, see state::AttemptResult.
    void add(std::uint64_t connection) { numbers_.push_back(connection); }

    bool contains(std::uint64_t connection) const
    {
        return std::find(numbers_.begin(), numbers_.end(), connection) != numbers_.end();
    }

private:
    std::vector<std::uint64_t> numbers_;
};

} // namespace persimmon::forward
