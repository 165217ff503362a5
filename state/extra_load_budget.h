#pragma once

namespace persimmon::state {

/// Token bucket that limits hedges and retries to a fraction of the primary executions.
class ExtraLoadBudget
{
public:
    /// Maximum number of tokens.
    static constexpr double Capacity = 10;
    /// Allows one extra execution from the start, so that the first failure can be retried.
    static constexpr double InitialTokens = 1;

    explicit ExtraLoadBudget(double capacity = Capacity, double initialTokens = InitialTokens)
        : capacity_(capacity),
          tokens_(initialTokens)
    {
    }

    /// Changes the capacity. A bucket that was never used is filled up to it.
    void setCapacity(double capacity);

    /// Adds @p extraLoad tokens for one primary execution.
    void addPrimary(double extraLoad);

    /// Consumes a token for one extra execution.
    /// @return false if there was none.
    bool tryConsume();

    double tokens() const { return tokens_; }

private:
    double capacity_;
    double tokens_;
    bool used_ = false;
};

} // namespace persimmon::state
