#pragma once

#include "state/state.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmon::entry {

/// Identity of this entry process.
struct EntryIdentity
{
    std::string host;
    /// Random number that identifies this run of the process.
    std::uint64_t incarnation = 0;
    /// Start of the process, from which epochs are counted.
    state::TimePoint started{};
};

/// Callbacks of the entry into the coordination layer.
struct EntryHooks
{
    using View = std::shared_ptr<const state::ClusterView>;

    /// @return the current view; null until the first complete one has been received.
    std::function<View()> currentView;
    /// @return whether the process was paused and the view has not been confirmed since.
    std::function<bool()> needsRevalidation = [] { return false; };
    /// Confirms the view. @return whether it was confirmed within the given time.
    std::function<boost::asio::awaitable<bool>(transport::Duration)> revalidate;
    /// Called with the configuration revision that a dispatcher has reported.
    std::function<void(std::uint64_t)> onPeerRevision = [](std::uint64_t) {};
    /// Publishes that this entry is shutting down, valid for the given time.
    std::function<void(std::chrono::milliseconds)> reportLeaving = [](std::chrono::milliseconds) {};
};

/// Called with an answer that was completed after the caller had already been answered.
using LateAnswerHandler = std::function<void(const protocol::QueryResponse &)>;

/// Executes one query; the time is that of its arrival.
using ExecuteQuery = std::function<boost::asio::awaitable<protocol::QueryResponse>(
        protocol::QueryRequest, state::TimePoint, LateAnswerHandler)>;

} // namespace persimmon::entry
