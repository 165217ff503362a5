#include "dispatch/dispatch_server.h"

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

constexpr const char *Part = "dispatch";
/// How long a batch waits for the view to be confirmed after a pause of the process.
constexpr std::chrono::milliseconds RevalidationTimeout{300};
constexpr std::chrono::milliseconds DrainPollInterval{10};
/// Time for the last results to be sent before the connections are closed.
constexpr std::chrono::milliseconds FlushDelay{50};
/// Sub-request ids start at a random 43-bit number, so that the attempt numbers of two dispatchers
/// for the same request id differ. With 8 bits for the attempts of each id they stay below the 53
/// bits that JSON numbers represent exactly.
constexpr std::uint64_t InitialIdMask = (1ULL << 43) - 1;

} // namespace

DispatchServer::DispatchServer(transport::Runtime &runtime, transport::Metrics &metrics,
                               DispatchOptions options, DispatchHooks hooks)
    : runtime_(runtime),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      upstreamClient_(runtime, metrics),
      metrics_(metrics),
      executorContext_{runtime, metrics_,
                       [this](std::uint64_t fingerprint) { quarantine(fingerprint); }},
      frameServer_(runtime, makeFrameOptions(),
                   [this](const auto &connection) { onAccept(connection); }),
      nextSubRequestId_(options_.incarnation & InitialIdMask)
{
    metrics.gauge("persimmon_dispatch_active", "Sub-requests that have not been answered yet.",
                  [this] { return static_cast<double>(pendingReplies_); });
}

transport::TransportResult<transport::Endpoint>
DispatchServer::listen(const transport::Endpoint &endpoint)
{
    return frameServer_.listen(endpoint);
}

transport::FrameOptions DispatchServer::makeFrameOptions()
{
    transport::FrameOptions options;
    options.makeHeartbeat = [this] {
        return protocol::encodeFrame(protocol::Heartbeat{++heartbeatsSent_});
    };
    return options;
}

void DispatchServer::onAccept(const std::shared_ptr<transport::FrameConnection> &connection)
{
    auto session = std::make_shared<DispatchSession>(connection);
    connection->start([this, session](const std::string &payload) { onFrame(session, payload); },
                      [this, session](const auto &) { onClosed(session); });
    session->send(protocol::Hello{protocol::FrameProtocolVersion, options_.host,
                                  options_.incarnation, revision()});
}

void DispatchServer::onFrame(const Session &session, const std::string &payload)
{
    auto decoded = protocol::decodeFrame(payload);
    if (!isOk(decoded)) {
        transport::logWarning(Part, "Closing the connection: malformed frame.",
                              {{"reason", errorOf(decoded).message}});
        session->close();
        return;
    }
    auto message = takeValue(decoded);
    if (const auto *hello = std::get_if<protocol::Hello>(&message)) {
        onHello(session, *hello);
        return;
    }
    if (!session->helloReceived) {
        transport::logWarning(Part, "Closing the connection: the first frame is not a Hello.");
        session->close();
        return;
    }
    if (auto *batch = std::get_if<protocol::Batch>(&message))
        onBatch(session, std::move(*batch));
    else if (const auto *cancel = std::get_if<protocol::Cancel>(&message))
        onCancel(session, *cancel);
}

void DispatchServer::onHello(const Session &session, const protocol::Hello &hello)
{
    if (hello.version != protocol::FrameProtocolVersion) {
        transport::logWarning(Part, "Closing the connection: unsupported protocol version.",
                              {{"host", hello.host}, {"version", std::to_string(hello.version)}});
        session->close();
        return;
    }
    session->helloReceived = true;
    hooks_.onPeerRevision(hello.configRevision);
}

void DispatchServer::onBatch(const Session &session, protocol::Batch batch)
{
    hooks_.onPeerRevision(batch.configRevision);
    if (draining_) {
        refuse(session, batch, protocol::SubError::ShuttingDown);
        return;
    }
    if (hooks_.needsRevalidation()) {
        runtime_.spawn(admitAfterRevalidation(session, std::move(batch)));
        return;
    }
    admit(session, batch);
}

asio::awaitable<void> DispatchServer::admitAfterRevalidation(Session session, protocol::Batch batch)
{
    const auto receivedAt = runtime_.clock().now();
    const bool confirmed = co_await hooks_.revalidate(RevalidationTimeout);
    batch.timeLeft -= std::chrono::duration_cast<std::chrono::microseconds>(runtime_.clock().now()
                                                                            - receivedAt);
    if (!confirmed)
        refuse(session, batch, protocol::SubError::StaleView);
    else if (draining_)
        refuse(session, batch, protocol::SubError::ShuttingDown);
    else
        admit(session, batch);
}

void DispatchServer::admit(const Session &session, const protocol::Batch &batch)
{
    const auto view = hooks_.currentView();
    if (!view) {
        refuse(session, batch, protocol::SubError::StaleView);
        return;
    }
    if (isQuarantined(*view, batch.fingerprint)) {
        refuse(session, batch, protocol::SubError::Quarantined);
        return;
    }
    for (const auto &sub : batch.subRequests)
        submit(session, batch, sub, view);
}

void DispatchServer::refuse(const Session &session, const protocol::Batch &batch,
                            protocol::SubError error)
{
    for (const auto &sub : batch.subRequests) {
        metrics_.onReply(protocol::SubOutcome::NotRun);
        session->send(protocol::SubResult{batch.batchId,
                                          sub.shard,
                                          batch.snapshot,
                                          protocol::SubOutcome::NotRun,
                                          error,
                                          {},
                                          0,
                                          {},
                                          revision()});
    }
}

void DispatchServer::submit(const Session &session, const protocol::Batch &batch,
                            const protocol::SubRequest &subRequest,
                            const std::shared_ptr<const state::ClusterView> &view)
{
    JsonServiceJob job;
    job.work = {nextSubRequestId_++, batch.snapshot,  batch.priority,
                batch.repeatable,    batch.extraLoad, runtime_.clock().now() + batch.timeLeft,
                batch.fingerprint,   batch.canary};
    job.request = {batch.requestId, 0,           subRequest.shard, batch.snapshot, {},
                   batch.priority,  batch.query, batch.key};
    job.onReply = [this, session, batchId = batch.batchId, shard = subRequest.shard,
                   snapshot = batch.snapshot](const state::SubReply &reply) {
        session->reply(reply.id, {batchId, shard, snapshot, reply.outcome, reply.error, reply.items,
                                  reply.executions, reply.upstream, revision()});
        --pendingReplies_;
    };
    ++pendingReplies_;
    session->add(batch.batchId, {job.work.id, subRequest.service, subRequest.shard});
    const auto executor = getOrCreateExecutor(subRequest.service, batch.group);
    executor->configure(view);
    executor->submit(std::move(job));
}

void DispatchServer::onCancel(const Session &session, const protocol::Cancel &cancel)
{
    for (const auto &pending : session->findPending(cancel.batchId, cancel.shards)) {
        if (const auto executor = findExecutor(pending.service))
            executor->cancel(pending.id);
    }
}

void DispatchServer::onClosed(const Session &session)
{
    for (const auto &pending : session->allPending()) {
        if (const auto executor = findExecutor(pending.service))
            executor->cancel(pending.id);
    }
}

bool DispatchServer::isQuarantined(const state::ClusterView &view, std::uint64_t fingerprint) const
{
    if (view.quarantined.contains(fingerprint))
        return true;
    const std::lock_guard lock(quarantineMutex_);
    const auto found = localQuarantine_.find(fingerprint);
    return found != localQuarantine_.end() && runtime_.clock().now() < found->second;
}

void DispatchServer::quarantine(std::uint64_t fingerprint)
{
    const auto now = runtime_.clock().now();
    {
        const std::lock_guard lock(quarantineMutex_);
        std::erase_if(localQuarantine_, [now](const auto &entry) { return now >= entry.second; });
        localQuarantine_[fingerprint] = now + state::CrashTracker::QuarantineTime;
    }
    transport::logWarning(Part, "Query quarantined: its fingerprint has crashed upstreams twice.",
                          {{"fingerprint", std::to_string(fingerprint)}});
    hooks_.reportQuarantine(fingerprint, state::CrashTracker::QuarantineTime);
    for (const auto &[service, executor] : executors())
        executor->quarantine(fingerprint);
}

void DispatchServer::onViewChanged()
{
    const auto view = hooks_.currentView();
    if (!view)
        return;
    std::vector<std::uint64_t> added;
    {
        const std::lock_guard lock(quarantineMutex_);
        for (const auto fingerprint : view->quarantined) {
            if (!viewQuarantine_.contains(fingerprint))
                added.push_back(fingerprint);
        }
        viewQuarantine_ = view->quarantined;
    }
    for (const auto &[service, executor] : executors()) {
        executor->configure(view);
        for (const auto fingerprint : added)
            executor->quarantine(fingerprint);
    }
}

asio::awaitable<void> DispatchServer::drain()
{
    draining_ = true;
    transport::logInfo(Part, "Shutting down; refusing new batches.");
    while (pendingReplies_ > 0)
        co_await runtime_.clock().sleep(DrainPollInterval);
    co_await runtime_.clock().sleep(FlushDelay);
    frameServer_.close();
}

std::shared_ptr<JsonServiceExecutor> DispatchServer::getOrCreateExecutor(const std::string &service,
                                                                         const std::string &group)
{
    const std::lock_guard lock(executorsMutex_);
    auto &executor = executors_[service];
    if (!executor)
        executor = std::make_shared<JsonServiceExecutor>(executorContext_, upstreamClient_,
                                                         options_, service, group);
    return executor;
}

std::shared_ptr<JsonServiceExecutor> DispatchServer::findExecutor(const std::string &service) const
{
    const std::lock_guard lock(executorsMutex_);
    const auto found = executors_.find(service);
    return found == executors_.end() ? nullptr : found->second;
}

std::map<std::string, std::shared_ptr<JsonServiceExecutor>> DispatchServer::executors() const
{
    const std::lock_guard lock(executorsMutex_);
    return executors_;
}

std::uint64_t DispatchServer::revision() const
{
    const auto view = hooks_.currentView();
    return view ? view->configRevision : 0;
}

Json::Value DispatchServer::ramps() const
{
    Json::Value result(Json::objectValue);
    for (const auto &[service, executor] : executors()) {
        for (const auto &row : executor->status().upstreams) {
            auto &upstream = result[service][row.name];
            upstream["available"] = row.available;
            upstream["limit"] = row.limit;
            upstream["share"] = row.share;
            upstream["in_flight"] = row.inFlight;
        }
    }
    return result;
}

Json::Value DispatchServer::services() const
{
    Json::Value result(Json::objectValue);
    for (const auto &[service, executor] : executors()) {
        const auto status = executor->status();
        auto &row = result[service];
        row["first"] = executor->isTopRanked();
        row["waiting"] = static_cast<Json::UInt64>(status.waiting);
        row["extra_load_tokens"] = status.extraLoadTokens;
    }
    return result;
}

Json::Value DispatchServer::status() const
{
    Json::Value result(Json::objectValue);
    result["host"] = options_.host;
    result["draining"] = draining_.load();
    result["ready"] = hooks_.currentView() != nullptr;
    result["active"] = static_cast<Json::UInt64>(pendingReplies_);
    result["config_revision"] = static_cast<Json::UInt64>(revision());
    return result;
}

} // namespace persimmon::dispatch
