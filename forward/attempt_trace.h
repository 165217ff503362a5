#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace persimmon::forward {

/// An attempt whose connection ended after the request was sent, so that the upstream may have
/// crashed.
struct LostAttempt
{
    std::string service;
    std::string upstream;
};

/// The attempts of one caller request at all services that it needs.
struct AttemptTrace
{
    /// Regions of the upstreams to which the request was sent.
    std::set<std::string> regions;
    std::uint32_t attempts = 0;
    std::vector<LostAttempt> lost;
};

} // namespace persimmon::forward
