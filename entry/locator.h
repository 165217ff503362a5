#pragma once

#include "entry/entry_prober.h"

#include <optional>

namespace persimmon::entry {

/// Selects the entry that a caller should use.
class Locator
{
public:
    /// @param validFor how long a caller may cache an answer.
    /// @param entryPort caller port of all entries.
    /// @param prober reports which entries are reachable; must outlive the locator.
    Locator(EntryIdentity identity, std::chrono::milliseconds validFor, std::uint16_t entryPort,
            EntryProber &prober);

    /// @return the highest-ranked available entry that is reachable and whose incarnation is known,
    ///         or std::nullopt if there is none.
    std::optional<protocol::LocateResponse>
    locate(const state::ClusterView &view, std::string_view caller, state::TimePoint now) const;

    std::chrono::milliseconds validFor() const { return validFor_; }

private:
    std::optional<state::Home> findHome(const state::ClusterView &view, const std::string &host,
                                        state::TimePoint now) const;

    const EntryIdentity identity_;
    const std::chrono::milliseconds validFor_;
    const std::uint16_t entryPort_;
    const state::EpochClock epochs_;
    EntryProber &prober_;
};

} // namespace persimmon::entry
