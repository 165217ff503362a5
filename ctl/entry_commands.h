#pragma once

#include "ctl/command_result.h"
#include "protocol/caller_messages.h"
#include "transport/transport.h"

namespace persimmon::ctl {

/// Runs `locate`: requests the address of the entry that a caller should use.
/// @param entry address of the entry that handles the request.
/// @param profile name of the profile; may be empty.
/// @return ExitStatus::Failed if the entry refused the request or did not respond within @p
/// timeout.
CommandResult locate(const transport::Endpoint &entry, const std::string &caller,
                     const std::string &profile, transport::Duration timeout, bool asJson);

/// Runs `query`: sends one query to an entry.
/// @return ExitStatus::Success only for the outcome "done".
CommandResult runQuery(const transport::Endpoint &entry, const protocol::QueryRequest &request,
                       transport::Duration timeout, bool asJson);

} // namespace persimmon::ctl
