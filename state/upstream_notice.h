#pragma once

#include <chrono>
#include <optional>

namespace persimmon::state {

/// What an upstream says of itself in a response.
struct UpstreamNotice
{
    /// Whether the upstream itself has responded. Without a response of its own it says nothing.
    bool responded = false;
    /// Requests per second that it accepts from all hosts together, if it states a limit.
    std::optional<double> requestLimit;
    /// Whether it is shutting down.
    bool leaving = false;
    /// Time for which it accepts no requests from this host, if it states one.
    std::optional<std::chrono::milliseconds> pause;

    bool restricts() const { return requestLimit || leaving || pause; }
};

} // namespace persimmon::state
