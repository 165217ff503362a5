#pragma once

#include "state/state.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmon::entry {

/// Who this entry is.
struct EntryIdentity
{
    std::string host;
    /// Random number chosen at the start.
    std::uint64_t incarnation = 0;
    state::TimePoint started{};
};

/// What the entry needs from the cluster; main connects these to the agent.
struct EntryHooks
{
    using View = std::shared_ptr<const state::ClusterView>;

    /// @return the current view; null until the first complete one.
    std::function<View()> view;
    /// @return whether the process was paused and the view not confirmed since.
    std::function<bool()> needsRevalidation = [] { return false; };
    std::function<boost::asio::awaitable<bool>(transport::Duration)> revalidate;
    /// Gets the configuration revision that a dispatcher holds.
    std::function<void(std::uint64_t)> noteRevision = [](std::uint64_t) {};
    std::function<void(std::chrono::milliseconds)> reportLeaving = [](std::chrono::milliseconds) {};
};

/// Gets an answer that arrived after the caller was answered.
using LateHandler = std::function<void(const protocol::QueryAnswer &)>;

/// Runs one query that arrived at the given time.
using ExecuteQuery = std::function<boost::asio::awaitable<protocol::QueryAnswer>(
        protocol::QueryRequest, state::TimePoint, LateHandler)>;

} // namespace persimmon::entry
