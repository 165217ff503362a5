#include "entry/naive_executor.h"

#include "entry/query_executor.h"
#include "entry/result_queue.h"

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::SubError;
using protocol::SubOutcome;
using protocol::SubResult;

namespace {

/// Batch id of all results of a query, since the policy sends no batches.
constexpr std::uint64_t SingleBatchId = 1;

/// Connection limit for upstreams whose group has no settings.
constexpr std::size_t DefaultConnectionLimit = 25;

void setRefusal(SubResult &result, protocol::UpstreamRefusal reason)
{
    result.outcome = SubOutcome::NotRun;
    const bool missing = reason == protocol::UpstreamRefusal::SnapshotMissing;
    result.error = missing ? SubError::SnapshotMissing : SubError::Overloaded;
}

void setError(SubResult &result, const dispatch::DispatchError &error)
{
    const bool timeout = error.code == dispatch::DispatchErrorCode::Timeout;
    result.outcome = error.written ? SubOutcome::Unknown : SubOutcome::NotRun;
    result.error = timeout ? SubError::DeadlineExceeded : SubError::ConnectionLost;
    result.executions = error.written ? 1 : 0;
}

void setReply(SubResult &result, const protocol::ExecuteResponse &reply)
{
    if (const auto *refusal = std::get_if<protocol::ExecuteRefusal>(&reply)) {
        setRefusal(result, refusal->reason);
        return;
    }
    result.outcome = SubOutcome::Done;
    result.items = std::get<protocol::ExecuteSuccess>(reply).items;
    result.executions = 1;
}

} // namespace

/// State of one query; shared with the coroutines of its shards.
struct NaiveExecutor::RunningQuery
{
    EntryHooks::View view;
    protocol::QueryRequest request;
    std::string requestId;
    state::TimePoint deadline;
    LateAnswerHandler onLateAnswer;
    state::QueryMerge merge;
    ResultQueue resultQueue;
    bool finished = false;
};

NaiveExecutor::NaiveExecutor(transport::Runtime &runtime, dispatch::UpstreamClient &upstreamClient,
                             EntryHooks hooks, std::uint64_t seed)
    : runtime_(runtime),
      upstreamClient_(upstreamClient),
      hooks_(std::move(hooks)),
      random_(seed)
{
}

std::uint64_t NaiveExecutor::nextRandom()
{
    const std::lock_guard lock(mutex_);
    return random_();
}

std::optional<protocol::HostRecord> NaiveExecutor::chooseReplica(const state::ClusterView &view,
                                                                 const std::string &service)
{
    const auto replicas = view.availableUpstreams(service);
    if (replicas.empty())
        return std::nullopt;
    return replicas[nextRandom() % replicas.size()];
}

asio::awaitable<protocol::QueryResponse> NaiveExecutor::execute(protocol::QueryRequest request,
                                                                state::TimePoint arrival,
                                                                LateAnswerHandler onLateAnswer)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto view = hooks_.currentView();
    auto plan = state::QueryPlanner(*view).plan(request);
    if (!isOk(plan))
        co_return makePlanRefusal(errorOf(plan));
    const auto deadline = arrival + timeLimit(valueOf(plan).profile, request);
    auto requestId = request.requestId.value_or("naive-" + std::to_string(nextRandom()));
    const state::MergeLimits limits{deadline, deadline};
    const std::shared_ptr<RunningQuery> query(new RunningQuery{
            view, std::move(request), std::move(requestId), deadline, std::move(onLateAnswer),
            state::QueryMerge(takeValue(plan), limits), ResultQueue(executor)});
    for (std::size_t i = 0; i < query->merge.plan().shards.size(); ++i) {
        query->merge.expect(SingleBatchId, i);
        asio::co_spawn(executor, executeShard(query, i), asio::detached);
    }
    while (query->merge.decide(runtime_.clock().now()).action != state::MergeAction::Answer) {
        co_await query->resultQueue.waitUntil(deadline);
        while (const auto result = query->resultQueue.pop())
            query->merge.accept(*result, runtime_.clock().now());
    }
    query->finished = true;
    co_return query->merge.answer(runtime_.clock().now());
}

asio::awaitable<void> NaiveExecutor::executeShard(std::shared_ptr<RunningQuery> query,
                                                  std::size_t shard)
{
    const auto &plan = query->merge.plan();
    const auto &planned = plan.shards[shard].shard;
    SubResult result;
    result.batchId = SingleBatchId;
    result.shard = planned.id;
    result.snapshot = plan.snapshot;
    result.error = SubError::Overloaded;
    if (const auto replica = chooseReplica(*query->view, planned.service)) {
        const auto left = query->deadline - runtime_.clock().now();
        const auto group = query->view->groups.find(plan.profile.group);
        const auto connections = group == query->view->groups.end() ? DefaultConnectionLimit
                                                                    : group->second.connections;
        protocol::ExecuteRequest request;
        request.requestId = query->requestId;
        request.attempt = 1;
        request.shard = planned.id;
        request.snapshot = plan.snapshot;
        request.deadline = std::chrono::ceil<std::chrono::milliseconds>(left);
        request.priority = plan.profile.priority;
        request.query = query->request.query;
        request.key = query->request.key.value_or("");
        const auto reply = co_await upstreamClient_.execute(*replica, request, left, connections,
                                                            plan.profile.repeatable);
        if (isOk(reply))
            setReply(result, valueOf(reply));
        else
            setError(result, errorOf(reply));
    }
    if (!query->finished) {
        query->resultQueue.push(std::move(result));
        co_return;
    }
    query->merge.accept(result, runtime_.clock().now());
    const auto answer = query->merge.answer(runtime_.clock().now());
    if (query->onLateAnswer && answer.outcome == protocol::Outcome::Done)
        query->onLateAnswer(answer);
}

} // namespace persimmon::entry
