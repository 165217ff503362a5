#include "dispatch/owned_service.h"

#include "dispatch/attempt_conversion.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

/// Attempts of one sub-request that get distinct numbers.
constexpr std::uint64_t AttemptsPerSub = 256;

/// Upstreams see attempt numbers that are unique for all shards of a request id.
std::uint64_t wireAttempt(std::uint64_t id, std::uint32_t attempt)
{
    return id * AttemptsPerSub + attempt;
}

} // namespace

OwnedService::OwnedService(ExecutorContext &context, UpstreamPool &pool,
                           const DispatchOptions &options, std::string service, std::string group)
    : context_(context),
      pool_(pool),
      options_(options),
      service_(std::move(service)),
      group_(std::move(group)),
      executor_(std::make_shared<ServiceExecutor>(context))
{
}

void OwnedService::configure(const std::shared_ptr<const state::ClusterView> &view)
{
    const auto group = view->groups.find(group_);
    const auto settings = group == view->groups.end() ? protocol::GroupSettings{} : group->second;
    const auto ranking = state::rankDispatchers(*view, service_);
    const bool first = !ranking.empty() && ranking.front() == options_.host;
    {
        const std::lock_guard lock(mutex_);
        if (view_ == view || (view_ && view_->configRevision > view->configRevision))
            return;
        view_ = view;
        first_ = first;
        connectionLimit_ =
                std::max<std::size_t>(1, first ? settings.connections : settings.connections / 2);
    }
    executor_->configure({view->availableUpstreams(service_),
                          state::shareOfSlots(settings.slots, first), settings.slots,
                          settings.coldLimit, options_.ramp, options_.hedging,
                          options_.hedgeQuantile});
}

void OwnedService::submit(OwnedJob job)
{
    ServiceJob neutral;
    neutral.work = job.work;
    neutral.onReply = std::move(job.onReply);
    neutral.cancel = [self = shared_from_this(),
                      requestId = job.request.requestId](const state::CancelAttempt &action) {
        self->pool_.cancel(action.upstream, {requestId, wireAttempt(action.id, action.attempt)});
    };
    neutral.execute = [self = shared_from_this(), request = std::move(job.request),
                       deadline = job.work.deadline,
                       repeatable = job.work.repeatable](const state::StartAttempt &action) {
        return self->execute(action, request, deadline, repeatable);
    };
    executor_->submit(std::move(neutral));
}

asio::awaitable<state::AttemptResult> OwnedService::execute(state::StartAttempt action,
                                                            protocol::ExecuteRequest request,
                                                            transport::TimePoint deadline,
                                                            bool repeatable)
{
    const auto self = shared_from_this();
    const auto now = context_.runtime.clock().now();
    request.attempt = wireAttempt(action.id, action.attempt);
    request.deadline = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
    std::size_t limit = 1;
    {
        const std::lock_guard lock(mutex_);
        limit = connectionLimit_;
    }
    co_return convertAttempt(co_await pool_.execute(action.upstream, request, action.deadline - now,
                                                    limit, repeatable));
}

bool OwnedService::isFirst() const
{
    const std::lock_guard lock(mutex_);
    return first_;
}

} // namespace persimmon::dispatch
