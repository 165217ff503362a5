#pragma once

#include "standin/stand_in.h"

#include <boost/json/object.hpp>

#include <functional>
#include <string_view>

namespace persimmon::standin {

/// Executes one command; an exception of Boost.JSON means a missing member or a wrong type.
using FaultCommand =
        std::function<StandinResult<boost::json::object>(StandIn &, const boost::json::object &)>;

/// @return the command of kind @p kind, or an empty function.
FaultCommand findFaultCommand(std::string_view kind);

} // namespace persimmon::standin
