#pragma once

#include "dispatch/dispatch_hooks.h"
#include "dispatch/service_executor.h"
#include "dispatch/upstream_pool.h"

#include <memory>
#include <mutex>
#include <string>

namespace persimmon::dispatch {

/// A sub-request of the JSON protocol.
struct OwnedJob
{
    state::SubWork work;
    /// Attempt number and deadline are filled in for each attempt.
    protocol::ExecuteRequest request;
    /// Called once with the reply, on any thread.
    std::function<void(state::SubReply)> onReply;
};

/// One service that this dispatcher owns a part of, on upstreams that speak the JSON protocol.
/// Callable from any thread.
class OwnedService : public std::enable_shared_from_this<OwnedService>
{
public:
    /// @param group group that the service belongs to.
    OwnedService(ExecutorContext &context, UpstreamPool &pool, const DispatchOptions &options,
                 std::string service, std::string group);

    /// Takes a view; the same one again does nothing.
    void configure(const std::shared_ptr<const state::ClusterView> &view);

    void submit(OwnedJob job);
    void cancel(std::uint64_t id) { executor_->cancel(id); }
    void quarantine(std::uint64_t fingerprint) { executor_->quarantine(fingerprint); }

    /// @return whether this dispatcher is the first in the ranking of the service.
    bool isFirst() const;
    ServiceExecutor::Status status() const { return executor_->status(); }

private:
    boost::asio::awaitable<state::AttemptResult> execute(state::StartAttempt action,
                                                         protocol::ExecuteRequest request,
                                                         transport::TimePoint deadline,
                                                         bool repeatable);

    ExecutorContext &context_;
    UpstreamPool &pool_;
    const DispatchOptions &options_;
    const std::string service_;
    const std::string group_;
    const std::shared_ptr<ServiceExecutor> executor_;
    mutable std::mutex mutex_;
    std::shared_ptr<const state::ClusterView> view_;
    bool first_ = false;
    std::size_t connectionLimit_ = 1;
};

} // namespace persimmon::dispatch
