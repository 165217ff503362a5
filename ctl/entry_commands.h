#pragma once

#include "ctl/command_result.h"
#include "protocol/caller_messages.h"
#include "transport/transport.h"

namespace persimmon::ctl {

/// Runs `locate`: asks an entry which address a caller should use.
/// @param profile name of the profile; may be empty.
/// @return Failed when the entry refused or did not answer within @p timeout.
CommandResult locate(const transport::Endpoint &entry, const std::string &caller,
                     const std::string &profile, transport::Duration timeout, bool asJson);

/// Runs `query`: posts one query to an entry.
/// @return Success only for the outcome "done".
CommandResult runQuery(const transport::Endpoint &entry, const protocol::QueryRequest &request,
                       transport::Duration timeout, bool asJson);

} // namespace persimmon::ctl
