#pragma once

#include "state/routing_config.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::state {

/// Smooth weighted round robin: keeps the shares of the services of a route over any short run of
/// requests, which random choice does not.
class WeightedSplit
{
public:
    /// @param targets services with positive weights, at least one.
    /// @return the service of the next request. A changed list of targets keeps what is owed to
    ///         those that stay.
    const std::string &next(const std::vector<WeightedService> &targets);

private:
    std::map<std::string, double> credit_;
};

} // namespace persimmon::state
