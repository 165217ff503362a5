#include "entry/naive_executor.h"

#include "entry/query_executor.h"
#include "entry/result_inbox.h"

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::SubError;
using protocol::SubOutcome;
using protocol::SubResult;

namespace {

/// The id that stands for the only batch of a naive query.
constexpr std::uint64_t OnlyBatch = 1;

/// Connections to an upstream whose group has no settings.
constexpr std::size_t DefaultConnections = 25;

void fillRefusal(SubResult &result, protocol::UpstreamRefusal reason)
{
    result.outcome = SubOutcome::NotRun;
    const bool missing = reason == protocol::UpstreamRefusal::SnapshotMissing;
    result.error = missing ? SubError::SnapshotMissing : SubError::Overloaded;
}

void fillError(SubResult &result, const dispatch::DispatchError &error)
{
    const bool timeout = error.code == dispatch::DispatchErrorCode::Timeout;
    result.outcome = error.written ? SubOutcome::Unknown : SubOutcome::NotRun;
    result.error = timeout ? SubError::DeadlineExceeded : SubError::ConnectionLost;
    result.executions = error.written ? 1 : 0;
}

void fillReply(SubResult &result, const protocol::ExecuteReply &reply)
{
    if (const auto *refusal = std::get_if<protocol::ExecuteRefusal>(&reply)) {
        fillRefusal(result, refusal->reason);
        return;
    }
    result.outcome = SubOutcome::Done;
    result.items = std::get<protocol::ExecuteAnswer>(reply).items;
    result.executions = 1;
}

} // namespace

/// One naive query; shared with the tasks of its shards.
struct NaiveExecutor::Run
{
    EntryHooks::View view;
    protocol::QueryRequest request;
    std::string requestId;
    state::TimePoint deadline;
    LateHandler onLate;
    state::QueryMerge merge;
    ResultInbox inbox;
    bool finished = false;
};

NaiveExecutor::NaiveExecutor(transport::Runtime &runtime, dispatch::UpstreamClient &pool,
                             EntryHooks hooks, std::uint64_t seed)
    : runtime_(runtime),
      pool_(pool),
      hooks_(std::move(hooks)),
      random_(seed)
{
}

std::uint64_t NaiveExecutor::nextNumber()
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
    return replicas[nextNumber() % replicas.size()];
}

asio::awaitable<protocol::QueryAnswer>
NaiveExecutor::execute(protocol::QueryRequest request, state::TimePoint arrival, LateHandler onLate)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto view = hooks_.view();
    auto plan = state::QueryPlanner(*view).plan(request);
    if (!isOk(plan))
        co_return makePlanRefusal(errorOf(plan));
    const auto deadline = arrival + timeLimit(valueOf(plan).profile, request);
    auto requestId = request.requestId.value_or("naive-" + std::to_string(nextNumber()));
    const state::MergeLimits limits{deadline, deadline};
    const std::shared_ptr<Run> run(
            new Run{view, std::move(request), std::move(requestId), deadline, std::move(onLate),
                    state::QueryMerge(takeValue(plan), limits), ResultInbox(executor)});
    for (std::size_t i = 0; i < run->merge.plan().shards.size(); ++i) {
        run->merge.expect(OnlyBatch, i);
        asio::co_spawn(executor, executeShard(run, i), asio::detached);
    }
    while (run->merge.decide(runtime_.clock().now()).action != state::MergeAction::Answer) {
        co_await run->inbox.waitUntil(deadline);
        while (const auto result = run->inbox.take())
            run->merge.accept(*result, runtime_.clock().now());
    }
    run->finished = true;
    co_return run->merge.answer(runtime_.clock().now());
}

asio::awaitable<void> NaiveExecutor::executeShard(std::shared_ptr<Run> run, std::size_t shard)
{
    const auto &plan = run->merge.plan();
    const auto &planned = plan.shards[shard].shard;
    SubResult result;
    result.batchId = OnlyBatch;
    result.shard = planned.id;
    result.snapshot = plan.snapshot;
    result.error = SubError::Overloaded;
    if (const auto replica = chooseReplica(*run->view, planned.service)) {
        const auto left = run->deadline - runtime_.clock().now();
        const auto group = run->view->groups.find(plan.profile.group);
        const auto connections =
                group == run->view->groups.end() ? DefaultConnections : group->second.connections;
        protocol::ExecuteRequest request;
        request.requestId = run->requestId;
        request.attempt = 1;
        request.shard = planned.id;
        request.snapshot = plan.snapshot;
        request.deadline = std::chrono::ceil<std::chrono::milliseconds>(left);
        request.priority = plan.profile.priority;
        request.query = run->request.query;
        request.key = run->request.key.value_or("");
        const auto reply = co_await pool_.execute(*replica, request, left, connections,
                                                  plan.profile.repeatable);
        if (isOk(reply))
            fillReply(result, valueOf(reply));
        else
            fillError(result, errorOf(reply));
    }
    if (!run->finished) {
        run->inbox.push(std::move(result));
        co_return;
    }
    run->merge.accept(result, runtime_.clock().now());
    const auto answer = run->merge.answer(runtime_.clock().now());
    if (run->onLate && answer.outcome == protocol::Outcome::Done)
        run->onLate(answer);
}

} // namespace persimmon::entry
