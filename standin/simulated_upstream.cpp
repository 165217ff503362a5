#include "standin/simulated_upstream.h"

#include "protocol/upstream_codec.h"
#include "standin/result_items.h"
#include "transport/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace asio = boost::asio;
namespace json = boost::json;

namespace persimmon::standin {

using protocol::UpstreamRefusal;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum number of queued requests of one upstream; further requests are shed.
constexpr std::uint32_t QueueLimit = 64;
constexpr std::chrono::milliseconds SilencePollInterval{100};
constexpr std::chrono::milliseconds CloseDelay{20};

HttpResponse makeResponse(const protocol::ExecuteResponse &reply)
{
    return {protocol::executeStatus(reply), protocol::encodeExecuteResponse(reply)};
}

} // namespace

SimulatedUpstream::SimulatedUpstream(transport::Runtime &runtime,
                                     SimulatedUpstreamSettings settings, ExecutionLog &log)
    : runtime_(runtime),
      settings_(std::move(settings)),
      log_(log),
      slots_(settings_.capacity, QueueLimit),
      random_(XXH64(settings_.name.data(), settings_.name.size(), settings_.seed))
{
    log_.counters(settings_.name).failureDomain = settings_.failureDomain;
}

transport::TransportResult<transport::Endpoint> SimulatedUpstream::start()
{
    transport::HttpServerOptions options;
    options.connectionHandler = [this] { return acceptConnection(); };
    server_ = std::make_unique<transport::HttpServer>(runtime_, transport::HttpHandler{},
                                                      std::move(options));
    return server_->listen(settings_.endpoint);
}

void SimulatedUpstream::crash(std::chrono::milliseconds downtime)
{
    if (down_)
        return;
    down_ = true;
    ++incarnationNumber_;
    ++log_.counters(settings_.name).crashes;
    slots_.restart();
    for (const auto &task : tasks_)
        task->timer.cancel();
    tasks_.clear();
    server_->close();
    runtime_.spawn(
            [](SimulatedUpstream &self, std::chrono::milliseconds time) -> asio::awaitable<void> {
                co_await self.runtime_.clock().sleep(time);
                const auto started = self.start();
                if (!isOk(started))
                    transport::logError("standin", errorOf(started).message);
                self.down_ = false;
            }(*this, downtime));
}

transport::HttpHandler SimulatedUpstream::acceptConnection()
{
    connections_.remove_if([](const auto &weak) { return weak.expired(); });
    // A silent connection stays open until its client closes it, so it does not count towards the
    // connection limit.
    const auto responding = std::count_if(connections_.begin(), connections_.end(),
                                          [](const auto &weak) { return !weak.lock()->silent; });
    if (responding >= static_cast<std::ptrdiff_t>(settings_.capacity.connections))
        return {};
    auto connection = std::make_shared<Connection>();
    connection->incarnationNumber = incarnationNumber_;
    connections_.push_back(connection);
    return [this, connection](HttpRequest request) {
        return handle(connection, std::move(request));
    };
}

void SimulatedUpstream::silenceOpenConnections()
{
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock())
            connection->silent = true;
    }
}

SimulatedUpstream::Response SimulatedUpstream::handle(std::shared_ptr<Connection> connection,
                                                      HttpRequest request)
{
    if (connection->isNew) {
        connection->isNew = false;
        if (settings_.capacity.connectionCost.count() > 0)
            co_await runtime_.clock().sleep(settings_.capacity.connectionCost);
    }
    while ((connection->silent || faults_.silent)
           && connection->incarnationNumber == incarnationNumber_) {
        connection->silent = true;
        co_await runtime_.clock().sleep(SilencePollInterval);
    }
    if (connection->incarnationNumber != incarnationNumber_)
        co_return co_await waitForClose();
    if (request.method == "POST" && request.target == "/v1/execute")
        co_return co_await handleExecute(std::move(request));
    if (request.method == "POST" && request.target == "/v1/cancel")
        co_return handleCancel(request);
    if (request.method == "GET" && request.target == "/v1/health")
        co_return healthResponse();
    if (request.method == "GET" && request.target == "/v1/load")
        co_return loadResponse();
    co_return HttpResponse{404, R"({"error":"not_found"})"};
}

SimulatedUpstream::Response SimulatedUpstream::handleExecute(HttpRequest request)
{
    auto decoded = protocol::decodeExecuteRequest(request.body);
    if (!isOk(decoded))
        co_return refuse(UpstreamRefusal::BadRequest, {});
    log_.counters(settings_.name).lastRequest = runtime_.clock().now();
    const auto task =
            std::make_shared<Task>(co_await asio::this_coro::executor, takeValue(decoded));
    task->incarnationNumber = incarnationNumber_;
    task->arrivedAt = runtime_.clock().now();
    if (faults_.draining)
        co_return refuse(UpstreamRefusal::Draining, task->request);
    if (faults_.shed)
        co_return refuse(UpstreamRefusal::Shed, task->request);
    if (!holdsShard(task->request.snapshot, task->request.shard))
        co_return refuse(UpstreamRefusal::SnapshotMissing, task->request);
    const auto admission = slots_.admit();
    if (admission == AdmissionDecision::Shed)
        co_return refuse(UpstreamRefusal::Shed, task->request);
    if (admission == AdmissionDecision::Overload) {
        ++log_.counters(settings_.name).coldOverloads;
        logOverload(*task);
        crash();
        co_return co_await waitForClose();
    }
    tasks_.push_back(task);
    if (admission == AdmissionDecision::Run) {
        startTask(*task);
    } else {
        slots_.enqueue();
        updatePeakLoad();
        task->timer.expires_after(task->request.deadline);
        co_await task->timer.async_wait(AwaitTuple);
    }
    co_return co_await runTask(task);
}

void SimulatedUpstream::logOverload(const Task &arriving) const
{
    std::string tasks;
    for (const auto &task : tasks_) {
        const auto age = std::chrono::round<std::chrono::milliseconds>(runtime_.clock().now()
                                                                       - task->arrivedAt);
        tasks.append(tasks.empty() ? "" : " ")
                .append(task->request.requestId)
                .append("#")
                .append(std::to_string(task->request.attempt))
                .append(task->running ? ":running:" : ":waiting:")
                .append(task->cancelled ? "cancelled:" : "")
                .append(std::to_string(age.count()));
    }
    transport::logWarning("standin", "cold upstream overloaded; restarting it",
                          {{"upstream", settings_.name},
                           {"limit", std::to_string(slots_.limit())},
                           {"arriving", arriving.request.requestId + "#"
                                                + std::to_string(arriving.request.attempt)},
                           {"tasks", tasks}});
}

SimulatedUpstream::Response SimulatedUpstream::runTask(TaskPointer task)
{
    if (task->incarnationNumber != incarnationNumber_)
        co_return co_await waitForClose();
    if (!task->running) {
        // The task was cancelled or its deadline expired while it was queued.
        slots_.dequeue();
        tasks_.remove(task);
        co_return refuse(UpstreamRefusal::Shed, task->request);
    }
    log_.record(settings_.name, task->request);
    if (queryOperation(task->request.query) == QueryOperation::Crash) {
        crash();
        co_return co_await waitForClose();
    }
    task->timer.expires_after(sampleServiceTime());
    if (!task->cancelled)
        co_await task->timer.async_wait(AwaitTuple);
    if (task->incarnationNumber != incarnationNumber_)
        co_return co_await waitForClose();
    finishTask(task, !task->cancelled);
    if (task->cancelled)
        co_return HttpResponse{500, R"({"error":"cancelled"})"};
    co_return makeResponse(protocol::ExecuteSuccess{task->request.requestId, task->request.attempt,
                                                    task->request.shard, task->request.snapshot,
                                                    incarnation(), makeResultItems(task->request)});
}

void SimulatedUpstream::startTask(Task &task)
{
    task.running = true;
    const bool cold = slots_.isCold();
    slots_.start();
    auto &counters = log_.counters(settings_.name);
    auto &peak = cold ? counters.peakCold : counters.peakWarm;
    peak = std::max(peak, slots_.running());
    updatePeakLoad();
}

void SimulatedUpstream::updatePeakLoad()
{
    auto &peak = log_.counters(settings_.name).peakLoad;
    peak = std::max(peak, slots_.running() + slots_.queued());
}

void SimulatedUpstream::finishTask(const TaskPointer &task, bool completed)
{
    slots_.finish(completed);
    tasks_.remove(task);
    for (const auto &waiting : tasks_) {
        if (!slots_.hasFreeSlot())
            return;
        if (waiting->running || waiting->cancelled)
            continue;
        slots_.dequeue();
        startTask(*waiting);
        waiting->timer.cancel();
    }
}

HttpResponse SimulatedUpstream::handleCancel(const HttpRequest &request)
{
    const auto cancel = protocol::decodeCancelExecution(request.body);
    if (!isOk(cancel))
        return {400, R"({"error":"bad_request"})"};
    for (const auto &task : tasks_) {
        if (task->request.requestId != valueOf(cancel).requestId
            || task->request.attempt != valueOf(cancel).attempt)
            continue;
        task->cancelled = true;
        task->timer.cancel();
    }
    return {204, ""};
}

HttpResponse SimulatedUpstream::healthResponse() const
{
    const std::string state = faults_.draining ? "draining" : slots_.isCold() ? "cold" : "live";
    return {200, json::serialize(json::object{{"state", faults_.falseHealth.value_or(state)},
                                              {"incarnation", incarnation()}})};
}

HttpResponse SimulatedUpstream::loadResponse() const
{
    return {200, json::serialize(
                         json::object{{"in_flight", faults_.falseLoad.value_or(slots_.running())},
                                      {"queued", faults_.falseLoad.value_or(slots_.queued())}})};
}

HttpResponse SimulatedUpstream::refuse(UpstreamRefusal reason,
                                       const protocol::ExecuteRequest &request)
{
    ++log_.counters(settings_.name).refused;
    protocol::ExecuteRefusal refusal{reason, incarnation(), {}, request.requestId, request.attempt};
    if (reason == UpstreamRefusal::SnapshotMissing)
        refusal.held = heldSnapshots();
    return makeResponse(refusal);
}

void SimulatedUpstream::addSnapshot(const protocol::SnapshotMap &snapshot)
{
    std::set<std::string> shards;
    for (const auto &shard : snapshot.shards) {
        if (shard.service == settings_.service)
            shards.insert(shard.id);
    }
    shardsBySnapshot_[snapshot.id] = std::move(shards);
}

std::vector<std::uint64_t> SimulatedUpstream::heldSnapshots() const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, shards] : shardsBySnapshot_) {
        if (!faults_.lagging || id != shardsBySnapshot_.rbegin()->first)
            ids.push_back(id);
    }
    return ids;
}

bool SimulatedUpstream::holdsShard(std::uint64_t snapshot, const std::string &shard) const
{
    const auto found = shardsBySnapshot_.find(snapshot);
    if (found == shardsBySnapshot_.end() || !found->second.contains(shard))
        return false;
    return !faults_.lagging || snapshot != shardsBySnapshot_.rbegin()->first;
}

std::string SimulatedUpstream::incarnation() const
{
    return settings_.name + "-" + std::to_string(createdAt_) + "-"
           + std::to_string(incarnationNumber_);
}

std::chrono::microseconds SimulatedUpstream::sampleServiceTime()
{
    std::lognormal_distribution<double> timeFactor(0, settings_.serviceTimeSigma);
    std::uniform_real_distribution<double> uniform(0, 1);
    auto time = static_cast<double>(settings_.serviceTime.count()) * timeFactor(random_);
    const std::chrono::microseconds delay = faults_.slowDelay;
    if (uniform(random_) < faults_.slowShare)
        time = time * faults_.slowFactor + static_cast<double>(delay.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(time));
}

SimulatedUpstream::Response SimulatedUpstream::waitForClose()
{
    co_await runtime_.clock().sleep(CloseDelay);
    co_return HttpResponse{500, R"({"error":"crashed"})"};
}

} // namespace persimmon::standin
