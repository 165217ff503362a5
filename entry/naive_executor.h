#pragma once

#include "dispatch/dispatch.h"
#include "entry/entry_hooks.h"

#include <mutex>
#include <random>

namespace persimmon::entry {

/// Executor of the "naive" policy, the baseline for comparisons: sends each shard once to a random
/// available replica and waits for all results until the deadline. Callable from any thread.
class NaiveExecutor
{
public:
    /// @param upstreamClient must outlive the executor and its running queries.
    /// @param seed seed of the random choice of replicas.
    NaiveExecutor(transport::Runtime &runtime, dispatch::UpstreamClient &upstreamClient,
                  EntryHooks hooks, std::uint64_t seed);

    /// Executes one query on the calling strand; parameters as for QueryExecutor::execute().
    boost::asio::awaitable<protocol::QueryResponse> execute(protocol::QueryRequest request,
                                                            state::TimePoint arrival,
                                                            LateAnswerHandler onLateAnswer);

private:
    struct RunningQuery;

    boost::asio::awaitable<void> executeShard(std::shared_ptr<RunningQuery> query,
                                              std::size_t shard);
    std::optional<protocol::HostRecord> chooseReplica(const state::ClusterView &view,
                                                      const std::string &service);
    std::uint64_t nextRandom();

    transport::Runtime &runtime_;
    dispatch::UpstreamClient &upstreamClient_;
    const EntryHooks hooks_;
    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace persimmon::entry
