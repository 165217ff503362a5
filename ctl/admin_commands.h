#pragma once

#include "ctl/command_result.h"
#include "transport/transport.h"

namespace persimmon::ctl {

/// Calls a read-only admin method of a daemon and reports its result.
/// @param method JSON-RPC method, such as "status".
/// @return Failed when the daemon returned an error or did not answer within @p timeout.
CommandResult callAdmin(const transport::Endpoint &admin, const std::string &method,
                        transport::Duration timeout, bool asJson);

} // namespace persimmon::ctl
