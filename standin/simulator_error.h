#pragma once

#include "core/core.h"

#include <string>

namespace persimmon::standin {

/// Reasons why a deployment or a command of the control endpoint is rejected.
enum class SimulatorErrorCode { FileUnreadable, DeploymentInvalid, CommandInvalid, BindFailed };

inline constexpr std::array<EnumName<SimulatorErrorCode>, 4> SimulatorErrorNames{{
        {SimulatorErrorCode::FileUnreadable, "file_unreadable"},
        {SimulatorErrorCode::DeploymentInvalid, "deployment_invalid"},
        {SimulatorErrorCode::CommandInvalid, "command_invalid"},
        {SimulatorErrorCode::BindFailed, "bind_failed"},
}};

/// Error of the deployment simulator.
struct SimulatorError
{
    SimulatorErrorCode code = SimulatorErrorCode::CommandInvalid;
    std::string message;
};

template <typename Value>
using SimulatorResult = Result<Value, SimulatorError>;

} // namespace persimmon::standin
