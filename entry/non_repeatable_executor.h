#pragma once

#include "entry/entry_hooks.h"

#include <optional>

namespace persimmon::entry {

/// Executes each non-repeatable request at most once, and only on its home: the entry process that
/// its request id names. Callable from any thread.
class NonRepeatableExecutor
{
public:
    /// @param execute executes a request after this home has recorded it.
    /// @param entryPort caller port of the other entries.
    NonRepeatableExecutor(transport::Runtime &runtime, EntryIdentity identity, EntryHooks hooks,
                          ExecuteQuery execute, std::uint16_t entryPort);

    /// Executes a request, waits for a running duplicate of it, replays a recorded answer or
    /// forwards the request to its home.
    /// @param deadline time until which the caller waits.
    /// @param refusal if set, the answer to a request that has not been started here, recorded for
    ///        its id. A request that has been started is still joined or replayed, since the
    ///        outcome "not run" would be false for it.
    boost::asio::awaitable<protocol::QueryResponse>
    execute(protocol::QueryRequest request, state::TimePoint arrival, state::TimePoint deadline,
            std::optional<protocol::QueryResponse> refusal);

    /// Removes the records of expired epochs.
    void dropExpired();

    /// @return number of stored records.
    std::size_t records() const { return store_->size(); }

private:
    struct DuplicateWaiter;

    std::uint64_t epoch() const { return epochs_.epochAt(runtime_.clock().now()); }
    boost::asio::awaitable<protocol::QueryResponse>
    forward(protocol::QueryRequest request, std::string host, state::TimePoint deadline);
    boost::asio::awaitable<protocol::QueryResponse>
    start(protocol::QueryRequest request, state::RequestId id, state::TimePoint arrival);

    transport::Runtime &runtime_;
    const EntryIdentity identity_;
    const EntryHooks hooks_;
    const ExecuteQuery execute_;
    const std::uint16_t entryPort_;
    const state::EpochClock epochs_;
    /// Shared with the handlers of late answers, which may outlive the executor.
    const std::shared_ptr<state::IdempotencyStore> store_;
};

} // namespace persimmon::entry
