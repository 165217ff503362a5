#include "state/weighted_split.h"

#include <algorithm>

namespace persimmon::state {

const std::string &WeightedSplit::next(const std::vector<WeightedService> &targets)
{
    if (targets.size() == 1)
        return targets.front().service;
    std::erase_if(credit_, [&targets](const auto &entry) {
        return std::none_of(targets.begin(), targets.end(),
                            [&entry](const auto &target) { return target.service == entry.first; });
    });
    double total = 0;
    const WeightedService *best = nullptr;
    for (const auto &target : targets) {
        auto &credit = credit_[target.service];
        credit += target.weight;
        total += target.weight;
        if (target.weight > 0 && (best == nullptr || credit > credit_[best->service]))
            best = &target;
    }
    if (best == nullptr)
        return targets.front().service;
    credit_[best->service] -= total;
    return best->service;
}

} // namespace persimmon::state
