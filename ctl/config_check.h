#pragma once

#include "ctl/command_result.h"
#include "protocol/config_documents.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon::ctl {

/// Validates a whole configuration: each value by the rules that agents apply, and the references
/// between values, which agents cannot validate because they process one key at a time.
/// @param text JSON object that maps keys to values.
/// @return all faults, sorted by key; a fault of the file as a whole has an empty key.
std::vector<protocol::ConfigError> checkConfiguration(std::string_view text);

/// Runs `config check FILE`.
/// @param path path of the configuration file.
/// @param asJson whether faults are printed as a JSON array.
/// @return ExitStatus::Failed if there is a fault or the file cannot be read.
CommandResult checkConfigFile(const std::string &path, bool asJson);

} // namespace persimmon::ctl
