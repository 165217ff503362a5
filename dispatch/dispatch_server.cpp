#include "dispatch/dispatch_server.h"

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

constexpr const char *Part = "dispatch";
/// How long new work waits for a confirmed view after a pause of the process.
constexpr std::chrono::milliseconds RevalidationTimeout{300};
constexpr std::chrono::milliseconds DrainPollInterval{10};
/// Time for the last results to leave before the process ends.
constexpr std::chrono::milliseconds FlushTime{50};
/// Ids start at a random 43-bit number, so that attempt numbers of two dispatchers for one request
/// id differ and still fit into the integers of JSON (53 bits) after 256 attempts for each id.
constexpr std::uint64_t IdStartMask = (1ULL << 43) - 1;

} // namespace

DispatchServer::DispatchServer(transport::Runtime &runtime, transport::Metrics &metrics,
                               DispatchOptions options, DispatchHooks hooks)
    : runtime_(runtime),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      pool_(runtime, metrics),
      metrics_(metrics),
      context_{runtime, metrics_, [this](std::uint64_t fingerprint) { quarantine(fingerprint); }},
      frames_(runtime, makeFrameOptions(),
              [this](const auto &connection) { onAccept(connection); }),
      nextId_(options_.incarnation & IdStartMask)
{
    metrics.gauge("persimmon_dispatch_active", "Sub-requests without a reply.",
                  [this] { return static_cast<double>(active_); });
}

transport::TransportResult<transport::Endpoint>
DispatchServer::listen(const transport::Endpoint &endpoint)
{
    return frames_.listen(endpoint);
}

transport::FrameOptions DispatchServer::makeFrameOptions()
{
    transport::FrameOptions options;
    options.makeHeartbeat = [this] {
        return protocol::encodeFrame(protocol::Heartbeat{++heartbeats_});
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
        transport::logWarning(Part, "A frame could not be decoded; the connection is closed.",
                              {{"reason", errorOf(decoded).message}});
        session->close();
        return;
    }
    auto message = takeValue(decoded);
    if (const auto *hello = std::get_if<protocol::Hello>(&message)) {
        onHello(session, *hello);
        return;
    }
    if (!session->greeted) {
        transport::logWarning(Part, "A peer sent no Hello first; the connection is closed.");
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
        transport::logWarning(
                Part, "A peer speaks another version of the protocol; the connection is closed.",
                {{"host", hello.host}, {"version", std::to_string(hello.version)}});
        session->close();
        return;
    }
    session->greeted = true;
    hooks_.noteRevision(hello.configRevision);
}

void DispatchServer::onBatch(const Session &session, protocol::Batch batch)
{
    hooks_.noteRevision(batch.configRevision);
    if (draining_) {
        refuse(session, batch, protocol::SubError::ShuttingDown);
        return;
    }
    if (hooks_.needsRevalidation()) {
        runtime_.spawn(admitAfterPause(session, std::move(batch)));
        return;
    }
    admit(session, batch);
}

asio::awaitable<void> DispatchServer::admitAfterPause(Session session, protocol::Batch batch)
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
                            const protocol::SubRequest &sub,
                            const std::shared_ptr<const state::ClusterView> &view)
{
    OwnedJob job;
    job.work = {nextId_++,         batch.snapshot,  batch.priority,
                batch.repeatable,  batch.extraLoad, runtime_.clock().now() + batch.timeLeft,
                batch.fingerprint, batch.canary};
    job.request = {batch.requestId, 0,           sub.shard, batch.snapshot, {},
                   batch.priority,  batch.query, batch.key};
    job.onReply = [this, session, batchId = batch.batchId, shard = sub.shard,
                   snapshot = batch.snapshot](const state::SubReply &reply) {
        session->reply(reply.id, {batchId, shard, snapshot, reply.outcome, reply.error, reply.items,
                                  reply.executions, reply.upstream, revision()});
        --active_;
    };
    ++active_;
    session->add(batch.batchId, {job.work.id, sub.service, sub.shard});
    const auto executor = executorOf(sub.service, batch.group);
    executor->configure(view);
    executor->submit(std::move(job));
}

void DispatchServer::onCancel(const Session &session, const protocol::Cancel &cancel)
{
    for (const auto &sub : session->find(cancel.batchId, cancel.shards)) {
        if (const auto executor = findExecutor(sub.service))
            executor->cancel(sub.id);
    }
}

void DispatchServer::onClosed(const Session &session)
{
    for (const auto &sub : session->all()) {
        if (const auto executor = findExecutor(sub.service))
            executor->cancel(sub.id);
    }
}

bool DispatchServer::isQuarantined(const state::ClusterView &view, std::uint64_t fingerprint) const
{
    if (view.quarantined.contains(fingerprint))
        return true;
    const std::lock_guard lock(quarantineMutex_);
    const auto found = quarantinedUntil_.find(fingerprint);
    return found != quarantinedUntil_.end() && runtime_.clock().now() < found->second;
}

void DispatchServer::quarantine(std::uint64_t fingerprint)
{
    const auto now = runtime_.clock().now();
    {
        const std::lock_guard lock(quarantineMutex_);
        std::erase_if(quarantinedUntil_, [now](const auto &row) { return now >= row.second; });
        quarantinedUntil_[fingerprint] = now + state::CrashTracker::QuarantineTime;
    }
    transport::logWarning(Part, "A fingerprint crashed upstreams twice and is quarantined.",
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
            if (!knownQuarantine_.contains(fingerprint))
                added.push_back(fingerprint);
        }
        knownQuarantine_ = view->quarantined;
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
    transport::logInfo(Part, "Shutting down; new batches are refused.");
    while (active_ > 0)
        co_await runtime_.clock().sleep(DrainPollInterval);
    co_await runtime_.clock().sleep(FlushTime);
    frames_.close();
}

std::shared_ptr<OwnedService> DispatchServer::executorOf(const std::string &service,
                                                         const std::string &group)
{
    const std::lock_guard lock(servicesMutex_);
    auto &executor = services_[service];
    if (!executor)
        executor = std::make_shared<OwnedService>(context_, pool_, options_, service, group);
    return executor;
}

std::shared_ptr<OwnedService> DispatchServer::findExecutor(const std::string &service) const
{
    const std::lock_guard lock(servicesMutex_);
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

std::map<std::string, std::shared_ptr<OwnedService>> DispatchServer::executors() const
{
    const std::lock_guard lock(servicesMutex_);
    return services_;
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
        row["first"] = executor->isFirst();
        row["waiting"] = static_cast<Json::UInt64>(status.waiting);
        row["extra_load_tokens"] = status.budget;
    }
    return result;
}

Json::Value DispatchServer::status() const
{
    Json::Value result(Json::objectValue);
    result["host"] = options_.host;
    result["draining"] = draining_.load();
    result["ready"] = hooks_.currentView() != nullptr;
    result["active"] = static_cast<Json::UInt64>(active_);
    result["config_revision"] = static_cast<Json::UInt64>(revision());
    return result;
}

} // namespace persimmon::dispatch
