#include "entry/query_run.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::Outcome;
using protocol::SubResult;
using state::MergeAction;
using state::MergeStep;

namespace {

/// Interval of polling the view while the snapshot of the caller's token is not in it.
constexpr std::chrono::milliseconds TokenPollInterval{20};

/// The wait for the snapshot of the caller's token is limited to the deadline divided by this.
constexpr int TokenWaitDeadlineDivisor = 4;

} // namespace

QueryRun::QueryRun(std::shared_ptr<QueryExecutorContext> context, asio::any_io_executor strand,
                   protocol::QueryRequest request, state::TimePoint arrival,
                   LateAnswerHandler onLateAnswer)
    : context_(std::move(context)),
      strand_(std::move(strand)),
      request_(std::move(request)),
      arrival_(arrival),
      onLateAnswer_(std::move(onLateAnswer)),
      resultQueue_(strand_)
{
}

asio::awaitable<protocol::QueryResponse> QueryRun::run()
{
    auto plan = co_await makeFirstPlan();
    if (!isOk(plan))
        co_return makePlanRefusal(errorOf(plan));
    const auto &profile = valueOf(plan).profile;
    fingerprint_ = state::queryFingerprint(profile.group, request_.query);
    if (view_->quarantined.contains(fingerprint_))
        co_return protocol::makeErrorResponse(
                protocol::CallerError::Quarantined,
                "the query is quarantined because it has crashed upstreams");
    deadline_ = arrival_ + timeLimit(profile, request_);
    if (now() >= deadline_)
        co_return protocol::makeErrorResponse(protocol::CallerError::DeadlineOver,
                                              "the deadline passed before the query was sent");
    requestId_ = request_.requestId.value_or(context_->options.host + "."
                                             + std::to_string(context_->options.incarnation) + "-"
                                             + std::to_string(++context_->lastQueryNumber));
    setPlan(takeValue(plan));
    do {
        needsReplan_ = false;
        sendPlan();
        co_await collectResults();
    } while (needsReplan_);
    finished_ = true;
    co_return makeAnswer();
}

asio::awaitable<QueryRun::PlanResult> QueryRun::makeFirstPlan()
{
    while (true) {
        view_ = context_->hooks.currentView();
        if (!view_)
            co_return state::PlanError{state::PlanErrorCode::NoOwner,
                                       "this entry has not received a view yet"};
        auto plan = state::QueryPlanner(*view_).plan(request_);
        if (isOk(plan) || errorOf(plan).code != state::PlanErrorCode::SnapshotUnavailable
            || !request_.snapshotToken)
            co_return plan;
        const auto &profile = view_->profiles.at(request_.profile);
        if (now() >= arrival_ + timeLimit(profile, request_) / TokenWaitDeadlineDivisor)
            co_return plan;
        co_await context_->runtime.clock().sleep(TokenPollInterval);
    }
}

void QueryRun::setPlan(state::QueryPlan plan)
{
    const auto demoted = state::demoteSuspects(plan, [this](const std::string &dispatcher) {
        const auto link = linkTo(dispatcher);
        return link && link->isSuspect();
    });
    for (const auto &dispatcher : demoted) {
        linkTo(dispatcher)->probe();
        context_->metrics.demotions.add();
    }
    const auto enoughAt = arrival_ + plan.profile.enoughAfter;
    const state::MergeLimits limits{enoughAt, deadline_};
    merge_.emplace(std::move(plan), limits);
}

void QueryRun::sendPlan()
{
    canary_.reset();
    const auto &plan = merge_->plan();
    context_->budgets.addPrimaries(request_.profile, plan.profile.extraLoad, plan.shards.size());
    const bool needsCanary = context_->options.canary && plan.profile.repeatable
                             && plan.shards.size() > 1
                             && !context_->provenFingerprints.isProven(fingerprint_);
    if (!needsCanary) {
        sendAllExcept({});
        return;
    }
    const auto shard = state::ProvenFingerprintCache::canaryShard(fingerprint_, plan.shards.size());
    canary_.emplace();
    canary_->holdUntil = now() + state::ProvenFingerprintCache::holdTime(deadline_ - now());
    sendCanary(shard);
    context_->metrics.canaryHolds.add();
}

void QueryRun::sendCanary(std::size_t shard)
{
    canary_->shard = shard;
    canary_->sent.insert(shard);
    sendShards(merge_->plan().shards[shard].dispatchers.front(), {shard}, true);
}

void QueryRun::releaseHeldShards()
{
    if (!canary_ || canary_->released)
        return;
    const bool proven = context_->provenFingerprints.isProven(fingerprint_);
    // A canary whose upstream was lost may have crashed it; only an answer proves otherwise.
    if (!proven && (canary_->lost || now() < canary_->holdUntil))
        return;
    canary_->released = true;
    sendAllExcept(canary_->sent);
}

void QueryRun::onCanaryFailure(const SubResult &result, MergeAction action)
{
    if (!canary_ || canary_->released || action == MergeAction::Drop
        || result.shard != merge_->plan().shards[canary_->shard].shard.id
        || result.outcome == protocol::SubOutcome::Done)
        return;
    // Without an execution, the dispatcher was lost and not an upstream.
    const bool lost = result.outcome == protocol::SubOutcome::Unknown && result.executions > 0;
    canary_->lost = canary_->lost || lost;
    const auto next = (canary_->shard + 1) % merge_->plan().shards.size();
    // A refused canary proves nothing, so the next shard is sent as the canary.
    if (action == MergeAction::Wait && result.outcome == protocol::SubOutcome::NotRun
        && result.error != protocol::SubError::Quarantined && !canary_->sent.contains(next))
        sendCanary(next);
}

void QueryRun::resend(const MergeStep &step)
{
    const bool canary = canary_ && canary_->shard == step.shard
                        && !context_->provenFingerprints.isProven(fingerprint_);
    // The dispatcher that counted the first loss must also observe the second one, which
    // quarantines the query.
    const auto &first = merge_->plan().shards[step.shard].dispatchers.front();
    sendShards(canary && canary_->lost ? first : step.dispatcher, {step.shard}, canary);
}

void QueryRun::sendAllExcept(const std::set<std::size_t> &sent)
{
    for (auto &[dispatcher, shards] : merge_->plan().byOwner()) {
        auto rest = shards;
        std::erase_if(rest, [&sent](std::size_t shard) { return sent.contains(shard); });
        if (!rest.empty())
            sendShards(dispatcher, rest, false);
    }
}

void QueryRun::sendShards(const std::string &dispatcher, const std::vector<std::size_t> &shards,
                          bool canary)
{
    const auto &plan = merge_->plan();
    protocol::Batch batch;
    batch.batchId = context_->links.nextBatchId();
    batch.requestId = requestId_;
    batch.group = plan.profile.group;
    batch.snapshot = plan.snapshot;
    batch.configRevision = plan.configRevision;
    batch.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(deadline_ - now());
    batch.priority = plan.profile.priority;
    batch.repeatable = plan.profile.repeatable;
    batch.extraLoad = plan.profile.extraLoad;
    batch.fingerprint = fingerprint_;
    batch.canary = canary;
    batch.query = request_.query;
    batch.key = request_.key.value_or("");
    const auto link = linkTo(dispatcher);
    const auto hedgeAt = link ? now() + link->hedgeDelay(deadline_ - arrival_) : deadline_;
    for (const auto shard : shards) {
        merge_->expect(batch.batchId, shard, hedgeAt);
        batch.subRequests.push_back(
                {plan.shards[shard].shard.id, plan.shards[shard].shard.service});
    }
    if (!link) {
        for (const auto &sub : batch.subRequests) {
            SubResult result;
            result.batchId = batch.batchId;
            result.shard = sub.shard;
            result.snapshot = batch.snapshot;
            result.error = protocol::SubError::ConnectionLost;
            resultQueue_.push(std::move(result));
        }
        return;
    }
    sentBatches_[batch.batchId] = {link, now()};
    link->send(std::move(batch), [self = shared_from_this()](const SubResult &result) {
        asio::post(self->strand_, [self, result] { self->onResult(result); });
    });
}

std::shared_ptr<DispatcherLink> QueryRun::linkTo(const std::string &dispatcher) const
{
    const auto &address = view_->entryHosts.at(dispatcher).address;
    const auto endpoint = transport::parseEndpoint(
            address + ":" + std::to_string(context_->options.dispatchPort));
    return isOk(endpoint) ? context_->links.link(valueOf(endpoint)) : nullptr;
}

bool QueryRun::mayHedge() const
{
    // Dispatchers hold unproven queries back on purpose, so a second one must not execute them too.
    return !context_->options.canary || merge_->plan().shards.size() == 1
           || context_->provenFingerprints.isProven(fingerprint_);
}

void QueryRun::hedgeOverdueShards()
{
    std::map<std::string, std::vector<std::size_t>> hedges;
    for (const auto &overdue : merge_->takeOverdue(now())) {
        const auto sent = sentBatches_.find(overdue.batchId);
        if (sent != sentBatches_.end() && !overdue.postponed)
            sent->second.link->reportOverdue(sent->second.sentAt);
        if (!merge_->hasNextDispatcher(overdue.shard))
            continue;
        const bool isSilent = sent == sentBatches_.end()
                              || sent->second.link->shouldHedge(sent->second.sentAt, overdue.dueAt,
                                                                deadline_ - arrival_);
        if (!isSilent || !mayHedge() || !context_->budgets.tryConsume(request_.profile)) {
            merge_->postponeHedge(overdue.shard, now() + state::MinHedgeDelay);
            continue;
        }
        context_->metrics.hedges.add();
        hedges[merge_->takeNextDispatcher(overdue.shard)].push_back(overdue.shard);
    }
    for (const auto &[dispatcher, shards] : hedges)
        sendShards(dispatcher, shards, false);
}

void QueryRun::onResult(const SubResult &result)
{
    if (result.outcome == protocol::SubOutcome::Done)
        context_->provenFingerprints.markProven(fingerprint_);
    if (finished_) {
        onLateResult(result);
        return;
    }
    resultQueue_.push(result);
}

void QueryRun::onLateResult(const SubResult &result)
{
    if (!onLateAnswer_)
        return;
    merge_->accept(result, now());
    auto answer = makeAnswer();
    if (answer.outcome == Outcome::Done)
        onLateAnswer_(answer);
}

asio::awaitable<void> QueryRun::collectResults()
{
    while (true) {
        const auto step = processResults();
        if (step.action == MergeAction::Replan) {
            needsReplan_ = true;
            co_return;
        }
        if (step.action == MergeAction::Answer)
            co_return;
        hedgeOverdueShards();
        releaseHeldShards();
        hedgeOverdueShards();
        auto until = merge_->nextDecision(now());
        if (canary_ && !canary_->released && !canary_->lost)
            until = std::min(until, canary_->holdUntil);
        co_await resultQueue_.waitUntil(until);
    }
}

MergeStep QueryRun::processResults()
{
    while (const auto result = resultQueue_.pop()) {
        const auto step = processResult(*result);
        if (step.action == MergeAction::Replan || step.action == MergeAction::Answer)
            return step;
    }
    return merge_->decide(now());
}

MergeStep QueryRun::processResult(const SubResult &result)
{
    auto step = merge_->accept(result, now());
    cancel(merge_->takeSuperseded());
    onCanaryFailure(result, step.action);
    if (step.action == MergeAction::Drop)
        context_->metrics.mismatched.add();
    if (step.action == MergeAction::Retry)
        resend(step);
    if (step.action == MergeAction::Replan && !replan())
        step = merge_->decide(now());
    // Every dispatcher refuses a quarantined query, so the query does not wait for its other
    // shards. Shards that are held back for a lost canary are never sent.
    const bool isHeldBack = canary_ && canary_->lost && !canary_->released
                            && !context_->provenFingerprints.isProven(fingerprint_);
    if (step.action == MergeAction::Wait
        && (isHeldBack || result.error == protocol::SubError::Quarantined))
        step.action = MergeAction::Answer;
    return step;
}

bool QueryRun::replan()
{
    triedSnapshots_.insert(merge_->plan().snapshot);
    const auto view = context_->hooks.currentView();
    auto plan = state::QueryPlanner(*view).plan(request_, triedSnapshots_);
    if (!isOk(plan))
        return false;
    view_ = view;
    const auto abandoned = merge_->answer(now());
    previousExecutions_ += abandoned.executions;
    previousPlanMayHaveRun_ = previousPlanMayHaveRun_ || merge_->mayHaveRun();
    cancel(merge_->open());
    resultQueue_.clear();
    context_->metrics.replans.add();
    setPlan(takeValue(plan));
    return true;
}

void QueryRun::cancel(std::map<std::uint64_t, std::vector<std::string>> shardsByBatch)
{
    for (auto &[batch, shards] : shardsByBatch) {
        if (const auto found = sentBatches_.find(batch); found != sentBatches_.end())
            found->second.link->cancel(batch, std::move(shards));
    }
}

protocol::QueryResponse QueryRun::makeAnswer()
{
    auto answer = merge_->answer(now());
    answer.requestId = requestId_;
    answer.executions += previousExecutions_;
    if (answer.outcome == Outcome::NotRun && previousPlanMayHaveRun_) {
        answer.outcome = Outcome::Unknown;
        answer.error = protocol::CallerError::Incomplete;
        answer.message = "shards were executed on a snapshot that was abandoned";
    }
    // Non-repeatable requests are not cancelled: a late answer still updates their record to done.
    if (merge_->plan().profile.repeatable)
        cancel(merge_->open());
    return answer;
}

} // namespace persimmon::entry
