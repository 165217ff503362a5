#pragma once

#include <string>

namespace persimmon::ctl {

/// Exit statuses of persimmonctl.
enum class ExitStatus { Success = 0, Failed = 1, Usage = 2 };

/// What a command prints and how the program ends.
struct CommandResult
{
    ExitStatus status = ExitStatus::Success;
    /// Text for standard output.
    std::string output;
    /// One line for standard error; empty when there is none.
    std::string error;
};

/// @return the result of a command that could not be done.
inline CommandResult makeFailure(std::string error)
{
    return {ExitStatus::Failed, "", std::move(error)};
}

} // namespace persimmon::ctl
