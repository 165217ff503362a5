#include "state/extra_load_budget.h"

#include <algorithm>

namespace persimmon::state {

void ExtraLoadBudget::setCapacity(double capacity)
{
    tokens_ = used_ ? std::min(capacity, tokens_) : capacity;
    capacity_ = capacity;
}

void ExtraLoadBudget::addPrimary(double extraLoad)
{
    used_ = true;
    tokens_ = std::min(capacity_, tokens_ + extraLoad);
}

bool ExtraLoadBudget::tryConsume()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace persimmon::state
