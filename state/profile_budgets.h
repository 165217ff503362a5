#pragma once

#include "state/extra_load_budget.h"

#include <map>
#include <mutex>
#include <string>

namespace persimmon::state {

/// Token buckets of an entry that pay for hedges between dispatchers, one for each profile, so that
/// a bulk profile cannot use up the hedges of a critical one. Thread-safe.
class ProfileBudgets
{
public:
    /// Most tokens of one profile. The queries that are under way when a dispatcher goes silent
    /// need a hedge for each of its shards before the link is suspect.
    static constexpr double Capacity = 100;
    static constexpr double InitialTokens = 10;

    /// Adds the tokens of the shards of one query; each adds @p extraLoad. A profile without extra
    /// load gets no bucket.
    void addPrimaries(const std::string &profile, double extraLoad, std::size_t shards);

    /// @return whether a token for one hedge was there and has been taken.
    bool tryTake(const std::string &profile);

private:
    std::mutex mutex_;
    std::map<std::string, ExtraLoadBudget> budgets_;
};

} // namespace persimmon::state
