#pragma once

#include "state/decaying_latency_histogram.h"

namespace persimmon::state {

/// Token bucket for a rate that changes at any time. The bucket starts empty and holds the tokens
/// of one second, at least one.
class TokenBucket
{
public:
    /// Applies a new rate to the time after @p now.
    /// @param rate tokens per second; 0 for none.
    void setRate(double rate, TimePoint now);

    /// @return the tokens in the bucket at @p now.
    double tokensAt(TimePoint now) const;

    /// Takes a token; the number of tokens may become negative.
    void take(TimePoint now);

    /// @return when the bucket will hold @p tokens; TimePoint::max() if never.
    TimePoint timeOf(double tokens, TimePoint now) const;

    double rate() const { return rate_; }
    double capacity() const;

private:
    double rate_ = 0;
    double tokens_ = 0;
    TimePoint updatedAt_{};
};

} // namespace persimmon::state
