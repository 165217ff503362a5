#pragma once

#include "core/core.h"

#include <string>

namespace persimmon::standin {

/// Why a deployment or a command of the control endpoint was refused.
enum class StandinErrorCode { FileUnreadable, DeploymentInvalid, CommandInvalid, BindFailed };

inline constexpr std::array<EnumName<StandinErrorCode>, 4> StandinErrorNames{{
        {StandinErrorCode::FileUnreadable, "file_unreadable"},
        {StandinErrorCode::DeploymentInvalid, "deployment_invalid"},
        {StandinErrorCode::CommandInvalid, "command_invalid"},
        {StandinErrorCode::BindFailed, "bind_failed"},
}};

/// Error of the stand-ins.
struct StandinError
{
    StandinErrorCode code = StandinErrorCode::CommandInvalid;
    std::string message;
};

template <typename Value>
using StandinResult = Result<Value, StandinError>;

} // namespace persimmon::standin
