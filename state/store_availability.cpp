#include "state/store_availability.h"

#include <algorithm>

namespace persimmon::state {

bool StoreAvailability::onAnswer(std::uint64_t era, TimePoint sentAt, Duration wait, TimePoint now)
{
    // An answer that is read later than this was given at an unknown time before: this process has
    // stood still.
    const bool isLate = now > sentAt + wait + toleratedGap_;
    const auto before = period_;
    ownAnswerAt_ = isLate ? sentAt : now;
    merge({era, sentAt, *ownAnswerAt_});
    return before && period_->since > before->since;
}

void StoreAvailability::merge(const AnsweringPeriod &period)
{
    if (!period_ || period.era > period_->era) {
        period_ = period;
        return;
    }
    if (period.era < period_->era)
        return;
    const bool overlaps = period.since <= period_->until + toleratedGap_
                          && period_->since <= period.until + toleratedGap_;
    if (overlaps) {
        period_->since = std::min(period_->since, period.since);
        period_->until = std::max(period_->until, period.until);
    } else if (period.until > period_->until) {
        period_ = period;
    }
}

void StoreAvailability::reset()
{
    period_.reset();
    ownAnswerAt_.reset();
}

TimePoint StoreAvailability::answeringSince(TimePoint heardAt) const
{
    return period_ ? std::min(heardAt, period_->since) : heardAt;
}

} // namespace persimmon::state
