#pragma once

#include "entry/entry_hooks.h"

#include <optional>

namespace persimmon::entry {

/// Runs each non-repeatable request at most once, on its home only. Callable from any thread.
class NonRepeatableExecutor
{
public:
    /// @param execute runs a request that this home has recorded.
    /// @param entryPort port of the other entries.
    NonRepeatableExecutor(transport::Runtime &runtime, EntryIdentity identity, EntryHooks hooks,
                          ExecuteQuery execute, std::uint16_t entryPort);

    /// @param deadline time until which the caller waits.
    /// @param refusal answer to a request that this home has not started; it spends the id.
    ///        Requests that the home has started are joined or replayed even then, since "not run"
    ///        would be false for them.
    boost::asio::awaitable<protocol::QueryAnswer>
    execute(protocol::QueryRequest request, state::TimePoint arrival, state::TimePoint deadline,
            std::optional<protocol::QueryAnswer> refusal);

    /// Drops the records of expired epochs.
    void dropExpired();

    /// @return number of records kept.
    std::size_t records() const { return store_->size(); }

private:
    struct Join;

    std::uint64_t epoch() const { return epochs_.epochAt(runtime_.clock().now()); }
    boost::asio::awaitable<protocol::QueryAnswer>
    forward(protocol::QueryRequest request, std::string host, state::TimePoint deadline);
    boost::asio::awaitable<protocol::QueryAnswer>
    start(protocol::QueryRequest request, state::RequestId id, state::TimePoint arrival);

    transport::Runtime &runtime_;
    const EntryIdentity identity_;
    const EntryHooks hooks_;
    const ExecuteQuery execute_;
    const std::uint16_t entryPort_;
    const state::EpochClock epochs_;
    /// Shared with late handlers, which can outlive the executor.
    const std::shared_ptr<state::IdempotencyStore> store_;
};

} // namespace persimmon::entry
