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
///
/// After a restore of the service, the list stays unreconciled until adopt() is called. Until then
/// it keeps hosts that the restored copy lacks, and takes only rows that are newer than what was
/// known before the restore.
class HostList
{
public:
    /// Maximum number of changes in the log. A peer that is further behind is sent the whole list.
    /// At 6,630 lost or replaced hosts a day the log covers more than half a day.
    static constexpr std::size_t MaxLogEntries = 4096;

    /// Replaces the whole list; an older or equal position is ignored.
    /// @return whether the list was replaced.
    bool replace(const protocol::HistoryPosition &position,
                 const std::vector<protocol::HostRecord> &hosts);

    /// Replaces the whole list by that of a restored service, also at an equal position; an older
    /// position is ignored.
    /// @return whether the list was replaced.
    bool adopt(const protocol::HistoryPosition &position,
               const std::vector<protocol::HostRecord> &hosts);

    /// Applies the changes up to @p position; an older or equal position, or one of another era, is
    /// ignored.
    /// @param digest digest of the whole list at that revision. It detects that the sender missed
    ///        a record which changed twice between two of its reads.
    /// @return whether the changes were applied; otherwise the list is unchanged.
    bool apply(const protocol::HistoryPosition &position, const protocol::HostsDelta &delta,
               std::uint64_t digest);

    /// @return the changes after @p position; std::nullopt if the log does not reach back to it.
    std::optional<protocol::HostsDelta> since(const protocol::HistoryPosition &position) const;

    /// @return all records, sorted by name.
    std::vector<protocol::HostRecord> all() const;

    const protocol::HistoryPosition &position() const { return position_; }
    std::uint64_t revision() const { return position_.revision; }

    /// @return whether the list is that of the service in the current era.
    bool isReconciled() const { return reconciled_; }

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

    void beginEra(const protocol::HistoryPosition &position);
    std::vector<protocol::HostRecord>
    withKnownRows(const std::vector<protocol::HostRecord> &hosts) const;
    void putAll(std::uint64_t revision, const std::vector<protocol::HostRecord> &hosts);
    void restartLog();
    void put(std::uint64_t revision, const protocol::HostRecord &host);
    void erase(std::uint64_t revision, const std::string &name);
    void log(std::uint64_t revision, const std::string &name);

    std::map<std::string, protocol::HostRecord> hosts_;
    protocol::HistoryPosition position_;
    /// Last position in the era before the current one.
    protocol::HistoryPosition earlierEraEnd_;
    bool reconciled_ = true;
    std::uint64_t digest_ = 0;
    /// Names of changed records, ordered by revision.
    std::deque<LogEntry> log_;
    /// The log contains all changes after this revision.
    std::uint64_t logStart_ = 0;
};

} // namespace persimmon::state
