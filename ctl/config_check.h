#pragma once

#include "ctl/command_result.h"
#include "protocol/config_documents.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon::ctl {

/// Checks a whole configuration: each value by the rules that agents apply, and the references
/// between values, which agents can't check because they see one key at a time.
/// @param text JSON object that maps keys to values.
/// @return all faults, in the order of the keys; a fault of the file itself has an empty key.
std::vector<protocol::ConfigFault> checkConfiguration(std::string_view text);

/// Runs `config check FILE`.
/// @param path file with the configuration.
/// @param asJson whether faults are printed as a JSON array.
/// @return Failed when there is a fault or the file can't be read.
CommandResult checkConfigFile(const std::string &path, bool asJson);

} // namespace persimmon::ctl
