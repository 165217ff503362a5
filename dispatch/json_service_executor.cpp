#include "dispatch/json_service_executor.h"

#include "dispatch/attempt_conversion.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

/// Number range reserved for the attempts of one sub-request.
constexpr std::uint64_t AttemptNumbersPerSubRequest = 256;

/// @return the attempt number sent to upstreams, unique across all shards of a request id.
std::uint64_t makeAttemptNumber(std::uint64_t id, std::uint32_t attempt)
{
    return id * AttemptNumbersPerSubRequest + attempt;
}

} // namespace

JsonServiceExecutor::JsonServiceExecutor(ServiceExecutorContext &context,
                                         UpstreamClient &upstreamClient,
                                         const DispatchOptions &options, std::string service,
                                         std::string group)
    : context_(context),
      upstreamClient_(upstreamClient),
      options_(options),
      service_(std::move(service)),
      group_(std::move(group)),
      executor_(std::make_shared<ServiceExecutor>(context))
{
}

void JsonServiceExecutor::configure(const std::shared_ptr<const state::ClusterView> &view)
{
    const auto group = view->groups.find(group_);
    const auto settings = group == view->groups.end() ? protocol::GroupSettings{} : group->second;
    const auto ranking = state::rankDispatchers(*view, service_);
    const bool topRanked = !ranking.empty() && ranking.front() == options_.host;
    {
        const std::lock_guard lock(mutex_);
        if (view_ == view || (view_ && view_->configPosition() > view->configPosition()))
            return;
        view_ = view;
        topRanked_ = topRanked;
        connectionLimit_ = std::max<std::size_t>(1, topRanked ? settings.connections
                                                              : settings.connections / 2);
    }
    executor_->configure({view->availableUpstreams(service_),
                          state::slotShare(settings.slots, topRanked), settings.slots,
                          settings.coldLimit, options_.ramp, options_.hedging,
                          options_.hedgeQuantile});
}

void JsonServiceExecutor::submit(JsonServiceJob job)
{
    ServiceJob serviceJob;
    serviceJob.work = job.work;
    serviceJob.onReply = std::move(job.onReply);
    serviceJob.cancel = [self = shared_from_this(),
                         requestId = job.request.requestId](const state::CancelAttempt &action) {
        self->upstreamClient_.cancel(action.upstream,
                                     {requestId, makeAttemptNumber(action.id, action.attempt)});
    };
    serviceJob.execute = [self = shared_from_this(), request = std::move(job.request),
                          deadline = job.work.deadline,
                          repeatable = job.work.repeatable](const state::StartAttempt &action) {
        return self->execute(action, request, deadline, repeatable);
    };
    executor_->submit(std::move(serviceJob));
}

asio::awaitable<state::AttemptResult> JsonServiceExecutor::execute(state::StartAttempt action,
                                                                   protocol::ExecuteRequest request,
                                                                   transport::TimePoint deadline,
                                                                   bool repeatable)
{
    const auto self = shared_from_this();
    const auto now = context_.runtime.clock().now();
    request.attempt = makeAttemptNumber(action.id, action.attempt);
    request.deadline = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
    std::size_t limit = 1;
    {
        const std::lock_guard lock(mutex_);
        limit = connectionLimit_;
    }
    co_return toAttemptResult(co_await upstreamClient_.execute(
            action.upstream, request, action.deadline - now, limit, repeatable));
}

bool JsonServiceExecutor::isTopRanked() const
{
    const std::lock_guard lock(mutex_);
    return topRanked_;
}

} // namespace persimmon::dispatch
