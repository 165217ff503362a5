#pragma once

namespace persimmon::state {

/// Token bucket that pays for hedges and retries.
class ExtraLoadBudget
{
public:
    /// Most tokens that the bucket holds.
    static constexpr double Capacity = 10;
    /// A new bucket pays for one extra execution, so that the first failure can be retried.
    static constexpr double InitialTokens = 1;

    explicit ExtraLoadBudget(double capacity = Capacity, double initialTokens = InitialTokens)
        : capacity_(capacity),
          tokens_(initialTokens)
    {
    }

    /// Takes a changed capacity. A bucket that was never used is filled, since its burst is free.
    void setCapacity(double capacity);

    /// Adds the tokens of one primary execution.
    void addPrimary(double extraLoad);

    /// @return whether a token for one extra execution was there and has been taken.
    bool tryTake();

    double tokens() const { return tokens_; }

private:
    double capacity_;
    double tokens_;
    bool used_ = false;
};

} // namespace persimmon::state
