#pragma once

#include "load/load_error.h"
#include "protocol/config_documents.h"

#include <random>
#include <string>
#include <vector>

namespace persimmon::load {

/// A profile with its share of the load.
struct WeightedProfile
{
    std::string name;
    protocol::Profile profile;
    double weight = 1;
};

/// Profiles to draw queries from.
class ProfileMix
{
public:
    /// @param mix weights such as "live-scoresheet=8,entry-fee=1".
    /// @param configText text of a deployment's config.json, which defines the profiles.
    /// @return the mix, MixInvalid or ConfigInvalid.
    static LoadResult<ProfileMix> parse(const std::string &mix, const std::string &configText);

    const WeightedProfile &draw(std::mt19937_64 &random) const;
    const std::vector<WeightedProfile> &profiles() const { return profiles_; }

private:
    std::vector<WeightedProfile> profiles_;
};

} // namespace persimmon::load
