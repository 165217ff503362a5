#pragma once

#include "state/service_timing.h"

#include <cstdint>
#include <map>
#include <utility>

namespace persimmon::state {

/// Execution times by kind of work. Schedulers of services that do the same work, the shards of one
/// index, share a book: each alone sees too few requests to know when an answer is late.
class TimingBook
{
public:
    void setHedgePolicy(const HedgePolicy &policy)
    {
        policy_ = policy;
        for (auto &[key, timing] : timings_)
            timing.setHedgePolicy(policy);
    }

    /// @param far whether the upstream is far away. The way there takes longer than the work, so
    ///        that one delay for both would be wrong for each.
    /// @return the times of this kind of work.
    ServiceTiming &of(std::uint32_t workClass, bool far)
    {
        const auto [row, isNew] = timings_.try_emplace({workClass, far});
        if (isNew)
            row->second.setHedgePolicy(policy_);
        return row->second;
    }

    /// @return time after the start of an attempt at such an upstream after which it is hedged.
    Duration hedgeDelay(std::uint32_t workClass, bool far)
    {
        return of(workClass, far).hedgeDelay(typicalTime(workClass, false));
    }

    /// @return median execution time, or nothing before enough answers.
    std::optional<Duration> typicalTime(std::uint32_t workClass, bool far) const
    {
        const auto found = timings_.find({workClass, far});
        return found == timings_.end() ? std::nullopt : found->second.typicalTime();
    }

private:
    std::map<std::pair<std::uint32_t, bool>, ServiceTiming> timings_;
    HedgePolicy policy_;
};

} // namespace persimmon::state
