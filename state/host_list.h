#pragma once

#include "protocol/protocol.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

/// The newest known host list with a log of its latest changes, so that peers are sent only the
/// records that they lack. Revisions are assigned by the host list service.
class HostList
{
public:
    /// Maximum number of changes in the log. A peer that is further behind is sent the whole list.
    /// At 6,630 lost or replaced hosts a day the log covers more than half a day.
    static constexpr std::size_t MaxLogEntries = 4096;

    /// Replaces the whole list; an older or equal revision is ignored.
    /// @return whether the list was replaced.
    bool replace(std::uint64_t revision, const std::vector<protocol::HostRecord> &hosts);

    /// Applies the changes up to @p revision; an older or equal revision is ignored.
    /// @param digest digest of the whole list at that revision. It detects that the sender missed
    ///        a record which changed twice between two of its reads.
    /// @return whether the changes were applied; otherwise the list is unchanged.
    bool apply(std::uint64_t revision, const protocol::HostsDelta &delta, std::uint64_t digest);

    /// @return the changes after @p revision; std::nullopt if the log does not reach back to it.
    std::optional<protocol::HostsDelta> since(std::uint64_t revision) const;

    /// @return all records, sorted by name.
    std::vector<protocol::HostRecord> all() const;

    std::uint64_t revision() const { return revision_; }

    /// @return a hash of all records, independent of their order.
    std::uint64_t digest() const { return digest_; }

    /// Calls @p visit with each record.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[name, host] : hosts_)
            visit(host);
    }

private:
    struct LogEntry
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
    /// Names of changed records, ordered by revision.
    std::deque<LogEntry> log_;
    /// The log contains all changes after this revision.
    std::uint64_t logStart_ = 0;
};

} // namespace persimmon::state
