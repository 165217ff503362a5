#pragma once

#include <string>

namespace persimmon::ctl {

/// Exit status of persimmonctl. Usage reports invalid arguments.
enum class ExitStatus { Success = 0, Failed = 1, Usage = 2 };

/// Output and exit status of a command.
struct CommandResult
{
    ExitStatus status = ExitStatus::Success;
    /// Text for standard output.
    std::string output;
    /// Error message of one line for standard error; empty if there is none.
    std::string error;
};

/// @return a result with ExitStatus::Failed and the message @p error.
inline CommandResult makeFailure(std::string error)
{
    return {ExitStatus::Failed, "", std::move(error)};
}

} // namespace persimmon::ctl
