#pragma once

#include "core/core.h"

#include <string>

namespace persimmon::load {

/// Reasons why a load test cannot be configured or a query cannot be sent.
enum class LoadErrorCode { ConfigInvalid, MixInvalid, NoEntry, SendFailed };

inline constexpr std::array<EnumName<LoadErrorCode>, 4> LoadErrorNames{{
        {LoadErrorCode::ConfigInvalid, "config_invalid"},
        {LoadErrorCode::MixInvalid, "mix_invalid"},
        {LoadErrorCode::NoEntry, "no_entry"},
        {LoadErrorCode::SendFailed, "send_failed"},
}};

/// Error of the load generator.
struct LoadError
{
    LoadErrorCode code = LoadErrorCode::SendFailed;
    std::string message;
};

template <typename Value>
using LoadResult = Result<Value, LoadError>;

} // namespace persimmon::load
