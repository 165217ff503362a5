#pragma once

#include "load/load_error.h"
#include "protocol/config_documents.h"

#include <random>
#include <string>
#include <vector>

namespace persimmon::load {

/// Profile with its relative weight in the load.
struct WeightedProfile
{
    std::string name;
    protocol::Profile profile;
    double weight = 1;
};

/// Weighted profiles from which the profile of each query is sampled.
class ProfileMix
{
public:
    /// Parses a mix.
    /// @param mix profiles with weights, such as "live-scoresheet=8,entry-fee=1".
    /// @param configText contents of a deployment's config.json, which defines the profiles.
    /// @return the mix, MixInvalid or ConfigInvalid.
    static LoadResult<ProfileMix> parse(const std::string &mix, const std::string &configText);

    /// @return a random profile, selected by weight.
    const WeightedProfile &sample(std::mt19937_64 &random) const;
    const std::vector<WeightedProfile> &profiles() const { return profiles_; }

private:
    std::vector<WeightedProfile> profiles_;
};

} // namespace persimmon::load
