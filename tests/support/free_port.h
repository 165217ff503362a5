#pragma once

namespace persimmon::tests {

/// @return a free port that was not returned before, outside the range of ephemeral ports: a
///         connection of another test could otherwise occupy it before the host listens.
int allocatePort();

} // namespace persimmon::tests
