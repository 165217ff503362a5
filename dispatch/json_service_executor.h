#pragma once

#include "dispatch/dispatch_hooks.h"
#include "dispatch/service_executor.h"
#include "dispatch/upstream_client.h"

#include <memory>
#include <mutex>
#include <string>

namespace persimmon::dispatch {

/// A sub-request to an upstream that uses the JSON protocol.
struct JsonServiceJob
{
    state::SubRequestSpec work;
    /// Request template; attempt number and deadline are set for each attempt.
    protocol::ExecuteRequest request;
    /// Called exactly once with the reply, on any thread.
    std::function<void(state::SubReply)> onReply;
};

/// Executes the sub-requests of one service on upstreams that use the JSON protocol. Configures the
/// ServiceExecutor with this dispatcher's share of the service. Callable from any thread.
class JsonServiceExecutor : public std::enable_shared_from_this<JsonServiceExecutor>
{
public:
    /// @param group group of the service, whose settings apply.
    JsonServiceExecutor(ServiceExecutorContext &context, UpstreamClient &upstreamClient,
                        const DispatchOptions &options, std::string service, std::string group);

    /// Applies the settings and upstreams of @p view. Ignores the current view and older ones.
    void configure(const std::shared_ptr<const state::ClusterView> &view);

    void submit(JsonServiceJob job);
    void cancel(std::uint64_t id) { executor_->cancel(id); }
    void quarantine(std::uint64_t fingerprint) { executor_->quarantine(fingerprint); }

    /// @return whether this dispatcher ranks first among the dispatchers of the service.
    bool isTopRanked() const;
    ServiceExecutor::Status status() const { return executor_->status(); }

private:
    boost::asio::awaitable<state::AttemptResult> execute(state::StartAttempt action,
                                                         protocol::ExecuteRequest request,
                                                         transport::TimePoint deadline,
                                                         bool repeatable);

    ServiceExecutorContext &context_;
    UpstreamClient &upstreamClient_;
    const DispatchOptions &options_;
    const std::string service_;
    const std::string group_;
    const std::shared_ptr<ServiceExecutor> executor_;
    mutable std::mutex mutex_;
    std::shared_ptr<const state::ClusterView> view_;
    bool topRanked_ = false;
    std::size_t connectionLimit_ = 1;
};

} // namespace persimmon::dispatch
