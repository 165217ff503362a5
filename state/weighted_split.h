#pragma once

#include "state/routing_config.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::state {

/// Smooth weighted round robin over the services of a route. Unlike random selection, it keeps the
/// weights also over short runs of requests.
class WeightedSplit
{
public:
    /// @param targets services with positive weights, at least one.
    /// @return the service for the next request. If the list of targets changes, the remaining ones
    ///         keep their credit.
    const std::string &next(const std::vector<WeightedService> &targets);

private:
    std::map<std::string, double> credit_;
};

} // namespace persimmon::state
