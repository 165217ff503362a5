#pragma once

#include "dispatch/dispatch.h"
#include "entry/entry_hooks.h"

#include <mutex>
#include <random>

namespace persimmon::entry {

/// The policy to compare with: sends each shard once to a random available replica and waits for
/// all until the deadline. Callable from any thread.
class NaiveExecutor
{
public:
    /// @param pool must outlive the executor and its running queries.
    /// @param seed seed of the choice of replicas.
    NaiveExecutor(transport::Runtime &runtime, dispatch::UpstreamClient &pool, EntryHooks hooks,
                  std::uint64_t seed);

    /// Runs one query on the calling strand; parameters as for QueryExecutor::execute().
    boost::asio::awaitable<protocol::QueryAnswer>
    execute(protocol::QueryRequest request, state::TimePoint arrival, LateHandler onLate);

private:
    struct Run;

    boost::asio::awaitable<void> executeShard(std::shared_ptr<Run> run, std::size_t shard);
    std::optional<protocol::HostRecord> chooseReplica(const state::ClusterView &view,
                                                      const std::string &service);
    std::uint64_t nextNumber();

    transport::Runtime &runtime_;
    dispatch::UpstreamClient &pool_;
    const EntryHooks hooks_;
    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace persimmon::entry
