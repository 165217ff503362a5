#pragma once

#include "dispatch/dispatch_hooks.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/upstream_pool.h"
#include "state/service_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmon::dispatch {

/// A sub-request with what is needed to execute and to answer it.
struct ServiceJob
{
    state::SubWork work;
    /// Attempt number and deadline are filled in for each attempt.
    protocol::ExecuteRequest request;
    /// Called once with the reply, on any thread.
    std::function<void(state::SubReply)> onReply;
};

/// What the executors of a dispatcher share; must outlive them.
struct ExecutorContext
{
    transport::Runtime &runtime;
    UpstreamPool &pool;
    DispatchMetrics &metrics;
    const DispatchOptions &options;
    /// Called with a fingerprint to quarantine.
    std::function<void(std::uint64_t)> onQuarantine;
};

/// Executes the actions of the scheduler of one service. Callable from any thread.
class ServiceExecutor : public std::enable_shared_from_this<ServiceExecutor>
{
public:
    /// @param group group that the service belongs to.
    ServiceExecutor(ExecutorContext &context, std::string service, std::string group);

    /// Takes a view; the same one again does nothing.
    void configure(const std::shared_ptr<const state::ClusterView> &view);

    void submit(ServiceJob job);
    void cancel(std::uint64_t id);
    void quarantine(std::uint64_t fingerprint);

    /// State of the service for the admin methods.
    struct Status
    {
        bool first = false;
        std::size_t waiting = 0;
        double budget = 0;
        std::vector<state::ReplicaSet::Row> upstreams;
    };
    Status status() const;

private:
    struct Job
    {
        ServiceJob content;
        transport::TimePoint arrivedAt;
    };
    using Event =
            std::function<state::SchedulerActions(state::ServiceScheduler &, transport::TimePoint)>;
    using Steps = std::vector<std::function<void()>>;

    void apply(const Event &event);
    void prepare(Steps &steps, const state::StartAttempt &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::CancelAttempt &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::ScheduleTimer &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::SubReply &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::QuarantineFingerprint &action,
                 transport::TimePoint now);
    boost::asio::awaitable<void> runAttempt(state::StartAttempt action,
                                            protocol::ExecuteRequest request, bool repeatable,
                                            std::size_t connectionLimit);
    boost::asio::awaitable<void> wakeAt(transport::TimePoint at);

    ExecutorContext &context_;
    const std::string service_;
    const std::string group_;
    mutable std::mutex mutex_;
    state::ServiceScheduler scheduler_;
    std::shared_ptr<const state::ClusterView> view_;
    bool first_ = false;
    std::size_t connectionLimit_ = 1;
    transport::TimePoint timerAt_;
    std::map<std::uint64_t, Job> jobs_;
};

} // namespace persimmon::dispatch
