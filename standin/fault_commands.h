#pragma once

#include "standin/deployment_simulator.h"

#include <boost/json/object.hpp>

#include <functional>
#include <string_view>

namespace persimmon::standin {

/// Executes one command. Throws an exception of Boost.JSON if a member is missing or has the wrong
/// type.
using FaultCommand = std::function<SimulatorResult<boost::json::object>(
        DeploymentSimulator &, const boost::json::object &)>;

/// @return the command for @p kind, or an empty function if the kind is unknown.
FaultCommand findFaultCommand(std::string_view kind);

} // namespace persimmon::standin
