#include "state/token_bucket.h"

#include <algorithm>

namespace persimmon::state {

double TokenBucket::capacity() const
{
    return std::max(1.0, rate_);
}

void TokenBucket::setRate(double rate, TimePoint now)
{
    tokens_ = tokensAt(now);
    updatedAt_ = now;
    rate_ = rate;
    tokens_ = std::min(tokens_, capacity());
}

double TokenBucket::tokensAt(TimePoint now) const
{
    const std::chrono::duration<double> elapsed = std::max(now - updatedAt_, Duration(0));
    return std::min(capacity(), tokens_ + elapsed.count() * rate_);
}

void TokenBucket::take(TimePoint now)
{
    tokens_ = tokensAt(now) - 1;
    updatedAt_ = now;
}

TimePoint TokenBucket::timeOf(double tokens, TimePoint now) const
{
    const auto missing = tokens - tokensAt(now);
    if (missing <= 0)
        return now;
    if (rate_ <= 0 || tokens > capacity())
        return TimePoint::max();
    return now + std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / rate_));
}

} // namespace persimmon::state
