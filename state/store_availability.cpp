#include "state/store_availability.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// Part of the tolerated gap for which calls fail at least in an outage. Longer than the retries of
/// a single failed call, and than another host takes to be answered in place of one that is not.
constexpr int FailingTimeDivisor = 2;

} // namespace

void StoreAvailability::onFailure(TimePoint now)
{
    isOwnCallFailing_ = true;
    merge(FailingSpan{now, now});
}

bool StoreAvailability::onAnswer(std::uint64_t era, TimePoint sentAt, Duration wait, TimePoint now)
{
    // An answer that is read later than this was given at an unknown time before: this process has
    // stood still.
    const bool isLate = now > sentAt + wait + toleratedGap_;
    const auto before = period_;
    ownAnswerAt_ = isLate ? sentAt : now;
    if (isOwnCallFailing_)
        merge(FailingSpan{sentAt, sentAt});
    isOwnCallFailing_ = false;
    merge(AnsweringPeriod{era, sentAt, *ownAnswerAt_});
    return before && period_->since > before->since;
}

void StoreAvailability::merge(const FailingSpan &span)
{
    if (failing_)
        failing_ =
                FailingSpan{std::min(failing_->from, span.from), std::max(failing_->to, span.to)};
    else
        failing_ = span;
    dropAnsweredFailures();
}

void StoreAvailability::merge(AnsweringPeriod period)
{
    if (period_ && period.era < period_->era)
        return;
    if (!period.outageSince)
        period.outageSince = outageBefore(period);
    const bool isSameEra = period_ && period.era == period_->era;
    const bool overlaps = isSameEra && period.since <= period_->until + toleratedGap_
                          && period_->since <= period.until + toleratedGap_;
    if (overlaps)
        mergeOverlapping(period);
    else if (!isSameEra || period.until > period_->until)
        period_ = period;
    dropAnsweredFailures();
}

void StoreAvailability::mergeOverlapping(const AnsweringPeriod &period)
{
    const bool isEarlier = period.since < period_->since;
    const auto &earlier = isEarlier ? period : *period_;
    const auto &later = isEarlier ? *period_ : period;
    const AnsweringPeriod merged{period.era, earlier.since, std::max(earlier.until, later.until),
                                 mergedOutage(earlier, later)};
    period_ = merged;
}

std::optional<TimePoint> StoreAvailability::outageBefore(const AnsweringPeriod &period) const
{
    if (!period_)
        return std::nullopt;
    if (period.era > period_->era)
        return std::min(period_->until, period.since);
    const bool isGap = period.since > period_->until + toleratedGap_;
    const bool hasFailed =
            failing_ && failing_->to - failing_->from >= toleratedGap_ / FailingTimeDivisor;
    return isGap && hasFailed ? std::optional(period_->until) : std::nullopt;
}

std::optional<TimePoint> StoreAvailability::mergedOutage(const AnsweringPeriod &earlier,
                                                         const AnsweringPeriod &later) const
{
    if (earlier.outageSince || !later.outageSince)
        return earlier.outageSince;
    // The first answer after the outage was to a host that does not know of it.
    const bool isBetween = earlier.since > *later.outageSince + toleratedGap_;
    return isBetween ? later.outageSince : std::nullopt;
}

void StoreAvailability::dropAnsweredFailures()
{
    if (!failing_ || !period_)
        return;
    failing_->from = std::max(failing_->from, period_->until);
    if (failing_->to < failing_->from)
        failing_.reset();
}

void StoreAvailability::reset()
{
    *this = StoreAvailability(toleratedGap_);
}

std::optional<TimePoint> StoreAvailability::outageEnd() const
{
    return period_ && period_->outageSince ? std::optional(period_->since) : std::nullopt;
}

} // namespace persimmon::state
