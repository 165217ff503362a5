#pragma once

#include "forward/header_names.h"

namespace persimmon::tests {

/// @return names of header fields that no deployment uses.
inline forward::HeaderNames makeNames()
{
    forward::HeaderNames names;
    names.requestId = "X-Id";
    names.timeLeft = "X-Left";
    names.signature = "X-Sign";
    names.expectedInstance = "X-Instance";
    names.notExecuted = "X-Not-Run";
    names.requestLimit = "X-Limit";
    names.leaving = "X-Leaving";
    names.partSignatures = "X-Parts";
    names.missingParts = "X-Missing";
    return names;
}

} // namespace persimmon::tests
