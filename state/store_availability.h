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
    /// Time of the last known answer before an outage that ended at @c since; std::nullopt if the
    /// period is not known to follow an outage.
    std::optional<TimePoint> outageSince = std::nullopt;

    bool operator==(const AnsweringPeriod &) const = default;
};

/// Time in which calls to the store are known to have failed.
struct FailingSpan
{
    TimePoint from;
    TimePoint to;

    bool operator==(const FailingSpan &) const = default;
};

/// Tracks when the platform's store has answered any host of the system, and its outages. A
/// registration that is removed while the store answers has been removed on purpose or for a dead
/// upstream; after an outage, the registrations of live upstreams may be missing for a time. No
/// host can tell the two apart by its own calls alone, since its own path may be the one that is
/// interrupted. Nor can it tell by a lack of answers, since the hosts that call the store may stand
/// still. So an outage is known only from calls that fail while no host is answered. Not
/// thread-safe.
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

    /// Records a call of this host that the store has not answered.
    void onFailure(TimePoint now);

    /// Records an answer to this host.
    /// @param sentAt when the call was sent.
    /// @param wait time for which the store was asked to hold the call.
    /// @return whether this answer begins a new period after a known one.
    bool onAnswer(std::uint64_t era, TimePoint sentAt, Duration wait, TimePoint now);

    /// Adds what a peer knows of answers: two periods of one era become one if no gap lies between
    /// them that is longer than the tolerated one. Otherwise, the later one counts. A known outage
    /// counts unless the other period has an answer in it.
    void merge(AnsweringPeriod period);

    /// Adds what a peer knows of failed calls. Must be called before the answers are merged that
    /// the peer knows of.
    void merge(const FailingSpan &span);

    /// Forgets everything, after this process was suspended and its clock may not have run.
    void reset();

    /// @return the last known period; std::nullopt if none is known.
    const std::optional<AnsweringPeriod> &period() const { return period_; }

    /// @return when calls are known to have failed since the last known answer, if any.
    const std::optional<FailingSpan> &failing() const { return failing_; }

    /// @return when this host itself was answered last; std::nullopt if that is unknown.
    std::optional<TimePoint> ownAnswerAt() const { return ownAnswerAt_; }

    /// @return the end of the last known outage; std::nullopt if none is known.
    std::optional<TimePoint> outageEnd() const;

private:
    /// @return AnsweringPeriod::outageSince of a period, by what is known without it.
    std::optional<TimePoint> outageBefore(const AnsweringPeriod &period) const;
    /// @return AnsweringPeriod::outageSince of two overlapping periods.
    std::optional<TimePoint> mergedOutage(const AnsweringPeriod &earlier,
                                          const AnsweringPeriod &later) const;
    void mergeOverlapping(const AnsweringPeriod &period);
    /// Forgets failures before the last known answer.
    void dropAnsweredFailures();

    Duration toleratedGap_;
    std::optional<AnsweringPeriod> period_;
    std::optional<FailingSpan> failing_;
    std::optional<TimePoint> ownAnswerAt_;
    /// Whether the last call of this host has failed.
    bool isOwnCallFailing_ = false;
};

} // namespace persimmon::state
