#include "state/extra_load_budget.h"

#include <algorithm>

namespace persimmon::state {

void ExtraLoadBudget::addPrimary(double extraLoad)
{
    tokens_ = std::min(capacity_, tokens_ + extraLoad);
}

bool ExtraLoadBudget::tryTake()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace persimmon::state
