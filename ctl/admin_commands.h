#pragma once

#include "ctl/command_result.h"
#include "transport/transport.h"

namespace persimmon::ctl {

/// Calls a read-only JSON-RPC method on the admin address of a daemon and formats its result.
/// @param method name of the method, such as "status".
/// @param asJson whether the result is printed as JSON instead of text.
/// @return ExitStatus::Failed if the daemon returned an error or did not respond within @p timeout.
CommandResult callAdmin(const transport::Endpoint &admin, const std::string &method,
                        transport::Duration timeout, bool asJson);

} // namespace persimmon::ctl
