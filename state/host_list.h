#pragma once

#include "protocol/protocol.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

/// The newest known host list with a log of its last changes, so that peers get only the rows that
/// they lack. Revisions come from the host list service and order all lists.
class HostList
{
public:
    /// Changes kept in the log. A peer that is further behind gets the whole list. At 6,630 hosts
    /// lost or replaced a day this covers more than half a day.
    static constexpr std::size_t LogLimit = 4096;

    /// Takes a whole list; an older or equal revision is ignored.
    /// @return whether the list is newer.
    bool replace(std::uint64_t revision, const std::vector<protocol::HostRecord> &hosts);

    /// Takes the changes up to @p revision; an older or equal revision is ignored.
    /// @param digest digest of the whole list at that revision. The sender may have missed a row
    ///        that changed twice between two of its reads, which only the digest shows.
    /// @return whether the list is newer; false leaves it unchanged.
    bool apply(std::uint64_t revision, const protocol::HostsDelta &delta, std::uint64_t digest);

    /// @return the changes after @p revision, or nothing when the log does not reach back to it.
    std::optional<protocol::HostsDelta> since(std::uint64_t revision) const;

    /// @return all rows in the order of their names.
    std::vector<protocol::HostRecord> all() const;

    std::uint64_t revision() const { return revision_; }

    /// @return a hash over all rows, independent of their order.
    std::uint64_t digest() const { return digest_; }

    /// Calls @p visit with each row.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[name, host] : hosts_)
            visit(host);
    }

private:
    struct LogRow
    {
        std::uint64_t revision = 0;
        std::string name;
    };

    void put(std::uint64_t revision, const protocol::HostRecord &host);
    void erase(std::uint64_t revision, const std::string &name);
    void log(std::uint64_t revision, const std::string &name);

    std::map<std::string, protocol::HostRecord> hosts_;
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;
    /// Names of rows that changed, in the order of revisions.
    std::deque<LogRow> log_;
    /// The log has all changes after this revision.
    std::uint64_t logStart_ = 0;
};

} // namespace persimmon::state
