#pragma once

#include "state/extra_load_budget.h"

#include <map>
#include <mutex>
#include <string>

namespace persimmon::state {

/// Token buckets that limit the hedges of an entry between dispatchers. Each profile has its own,
/// so that a bulk profile cannot use up the hedges of a critical one. Thread-safe.
class ProfileBudgets
{
public:
    /// Maximum tokens of one profile. When a dispatcher stops responding, the queries in flight
    /// need a hedge for each of its shards until the link is marked suspect.
    static constexpr double Capacity = 100;
    static constexpr double InitialTokens = 10;

    /// Adds the tokens for the shards of one query, @p extraLoad each. A profile without extra load
    /// has no bucket.
    void addPrimaries(const std::string &profile, double extraLoad, std::size_t shards);

    /// Consumes a token for one hedge.
    /// @return false if there was none.
    bool tryConsume(const std::string &profile);

private:
    std::mutex mutex_;
    std::map<std::string, ExtraLoadBudget> budgets_;
};

} // namespace persimmon::state
