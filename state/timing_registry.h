#pragma once

#include "state/service_timing.h"

#include <cstdint>
#include <map>
#include <utility>

namespace persimmon::state {

/// Execution times by work class. The schedulers of services that do the same work, such as the
/// shards of one index, share a registry: each alone has too few samples to detect a late answer.
class TimingRegistry
{
public:
    void setHedgePolicy(const HedgePolicy &policy)
    {
        policy_ = policy;
        for (auto &[key, timing] : timings_)
            timing.setHedgePolicy(policy);
    }

    /// @param far whether the upstream is far away. Far upstreams have separate statistics, since
    ///        the network latency exceeds the execution time and one hedge delay would suit
    ///        neither.
    /// @return the execution times of this work class.
    ServiceTiming &get(std::uint32_t workClass, bool far)
    {
        const auto [entry, inserted] = timings_.try_emplace({workClass, far});
        if (inserted)
            entry->second.setHedgePolicy(policy_);
        return entry->second;
    }

    /// @return delay from the start of an attempt at such an upstream to its hedge.
    Duration hedgeDelay(std::uint32_t workClass, bool far)
    {
        return get(workClass, far).hedgeDelay(medianTime(workClass, false));
    }

    /// @return median execution time, or std::nullopt before enough answers.
    std::optional<Duration> medianTime(std::uint32_t workClass, bool far) const
    {
        const auto found = timings_.find({workClass, far});
        return found == timings_.end() ? std::nullopt : found->second.medianTime();
    }

private:
    std::map<std::pair<std::uint32_t, bool>, ServiceTiming> timings_;
    HedgePolicy policy_;
};

} // namespace persimmon::state
