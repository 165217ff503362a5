#pragma once

#include "state/epoch_clock.h"

#include <cstdint>
#include <optional>

namespace persimmon::state {

/// Time in which the platform's store has answered some host all along, by the clock of this host.
struct AnsweringPeriod
{
    /// Era of the store. A restored store may lack registrations, however short its outage was.
    std::uint64_t era = 0;
    TimePoint since;
    /// Time of the last known answer.
    TimePoint until;

    bool operator==(const AnsweringPeriod &) const = default;
};

/// Tracks when the platform's store has answered any host of the system. A registration that is
/// removed while it answers has been removed on purpose or for a dead upstream; after an outage,
/// the registrations of live upstreams may be missing for a time. No host can tell the two apart by
/// its own calls alone, since its own path may be the one that is interrupted. Not thread-safe.
class StoreAvailability
{
public:
    /// Default of the longest time without a known answer that does not count as an outage: hosts
    /// need it to find out that the store turns away only those that read it. Registrations expire
    /// in longer outages.
    static constexpr std::chrono::milliseconds ToleratedGap{2400};

    explicit StoreAvailability(Duration toleratedGap = ToleratedGap) : toleratedGap_(toleratedGap)
    {
    }

    /// Records an answer to this host.
    /// @param sentAt when the call was sent.
    /// @param wait time for which the store was asked to hold the call.
    /// @return whether this answer begins a new period after a known one.
    bool onAnswer(std::uint64_t era, TimePoint sentAt, Duration wait, TimePoint now);

    /// Adds what a peer knows: two periods of one era become one if no outage lies between them.
    /// Otherwise, the later one counts.
    void merge(const AnsweringPeriod &period);

    /// Forgets everything, after this process was suspended and its clock may not have run.
    void reset();

    /// @return the last known period; std::nullopt if none is known.
    const std::optional<AnsweringPeriod> &period() const { return period_; }

    /// @return when this host itself was answered last; std::nullopt if that is unknown.
    std::optional<TimePoint> ownAnswerAt() const { return ownAnswerAt_; }

    /// @return the start of the period in which this host heard of a change at @p heardAt;
    ///         @p heardAt if it is unknown or began later.
    TimePoint answeringSince(TimePoint heardAt) const;

private:
    Duration toleratedGap_;
    std::optional<AnsweringPeriod> period_;
    std::optional<TimePoint> ownAnswerAt_;
};

} // namespace persimmon::state
