#include "load/profile_mix.h"

#include <boost/json.hpp>

#include <cstdlib>
#include <sstream>

namespace json = boost::json;

namespace persimmon::load {

namespace {

LoadResult<protocol::Profile> findProfile(const json::object &config, const std::string &name)
{
    const auto key = "profile/" + name;
    const auto *value = config.if_contains(key);
    if (value == nullptr)
        return LoadError{LoadErrorCode::MixInvalid,
                         "profile " + name + " is not defined in the configuration"};
    const auto document = protocol::parseConfigDocument(key, json::serialize(*value));
    if (!isOk(document))
        return LoadError{LoadErrorCode::ConfigInvalid, key + ": " + errorOf(document).reason};
    return std::get<protocol::Profile>(valueOf(document));
}

} // namespace

LoadResult<ProfileMix> ProfileMix::parse(const std::string &mix, const std::string &configText)
{
    boost::system::error_code error;
    const auto config = json::parse(configText, error);
    if (error || !config.is_object())
        return LoadError{LoadErrorCode::ConfigInvalid,
                         "the configuration is not a valid JSON object"};
    ProfileMix result;
    std::stringstream parts(mix);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const auto equals = part.find('=');
        const auto name = part.substr(0, equals);
        const auto weight =
                equals == std::string::npos ? 1 : std::strtod(part.c_str() + equals + 1, nullptr);
        if (weight <= 0)
            return LoadError{LoadErrorCode::MixInvalid,
                             "the weight in " + part + " must be greater than 0"};
        const auto profile = findProfile(config.as_object(), name);
        if (!isOk(profile))
            return errorOf(profile);
        result.profiles_.push_back({name, valueOf(profile), weight});
    }
    if (result.profiles_.empty())
        return LoadError{LoadErrorCode::MixInvalid, "the mix contains no profile"};
    return result;
}

const WeightedProfile &ProfileMix::sample(std::mt19937_64 &random) const
{
    std::vector<double> weights;
    weights.reserve(profiles_.size());
    for (const auto &profile : profiles_)
        weights.push_back(profile.weight);
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return profiles_[distribution(random)];
}

} // namespace persimmon::load
