#include "state/profile_budgets.h"

namespace persimmon::state {

void ProfileBudgets::addPrimaries(const std::string &profile, double extraLoad, std::size_t shards)
{
    if (extraLoad <= 0)
        return;
    const std::lock_guard lock(mutex_);
    auto &budget = budgets_.try_emplace(profile, Capacity, InitialTokens).first->second;
    budget.addPrimary(extraLoad * static_cast<double>(shards));
}

bool ProfileBudgets::tryConsume(const std::string &profile)
{
    const std::lock_guard lock(mutex_);
    const auto found = budgets_.find(profile);
    return found != budgets_.end() && found->second.tryConsume();
}

} // namespace persimmon::state
