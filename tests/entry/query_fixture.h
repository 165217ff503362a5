#pragma once

#include "entry/entry.h"

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// Dispatcher that passes each batch to a callback, which sends the results on the connection.
class FakeDispatcher
{
public:
    using Connection = std::shared_ptr<transport::FrameConnection>;
    using BatchHook = std::function<void(const Connection &, const protocol::Batch &)>;

    FakeDispatcher(transport::Runtime &runtime, const transport::Endpoint &endpoint)
        : server_(runtime, {}, [this](Connection connection) { accept(connection); })
    {
        this->endpoint = valueOf(server_.listen(endpoint));
    }

    std::vector<protocol::Batch> batches()
    {
        const std::lock_guard lock(mutex_);
        return batches_;
    }

    void setHook(BatchHook hook)
    {
        const std::lock_guard lock(mutex_);
        batches_.clear();
        hook_ = std::move(hook);
    }

    static protocol::SubResult makeResult(const protocol::Batch &batch, const std::string &shard)
    {
        protocol::SubResult result;
        result.batchId = batch.batchId;
        result.shard = shard;
        result.snapshot = batch.snapshot;
        result.outcome = protocol::SubOutcome::Done;
        result.executions = 1;
        result.items = "[{\"shard\":\"" + shard + "\",\"snapshot\":"
                       + std::to_string(batch.snapshot) + ",\"query\":" + batch.query + "}]";
        return result;
    }

    static protocol::SubResult makeFailure(const protocol::Batch &batch, const std::string &shard,
                                           protocol::SubError error)
    {
        auto result = makeResult(batch, shard);
        result.outcome = protocol::SubOutcome::NotRun;
        result.error = error;
        result.items.clear();
        return result;
    }

    static void send(const Connection &connection, const protocol::SubResult &result)
    {
        connection->send(protocol::encodeFrame(result));
    }

    /// Sends a result for every shard of a batch.
    static void answerAll(const Connection &connection, const protocol::Batch &batch)
    {
        for (const auto &sub : batch.subRequests)
            send(connection, makeResult(batch, sub.shard));
    }

    transport::Endpoint endpoint;

private:
    void accept(const Connection &connection)
    {
        connection->send(protocol::encodeFrame(protocol::Hello{}));
        // The connection owns its handlers, so they must not hold a reference to it.
        connection->start(
                [this, weak = std::weak_ptr(connection)](const std::string &payload) {
                    const auto message = protocol::decodeFrame(payload);
                    const auto *batch = std::get_if<protocol::Batch>(&valueOf(message));
                    const auto connection = weak.lock();
                    if (batch != nullptr && connection)
                        onBatch(connection, *batch);
                },
                [](const transport::TransportError &) {});
    }

    void onBatch(const Connection &connection, const protocol::Batch &batch)
    {
        BatchHook hook;
        {
            const std::lock_guard lock(mutex_);
            batches_.push_back(batch);
            hook = hook_;
        }
        hook(connection, batch);
    }

    std::mutex mutex_;
    std::vector<protocol::Batch> batches_;
    BatchHook hook_ = answerAll;
    transport::FrameServer server_;
};

/// Query executor with real dispatcher links and two fake dispatchers that serve group "g".
class QueryFixture
{
public:
    static constexpr int Shards = 4;
    static constexpr std::chrono::milliseconds TeardownDelay{100};

    explicit QueryFixture(bool canary)
        : first_(runtime, valueOf(transport::parseEndpoint("127.0.0.1:0"))),
          second_(runtime, transport::Endpoint(boost::asio::ip::make_address("127.0.0.2"),
                                               first_.endpoint.port()))
    {
        addHost("h1", "127.0.0.1");
        addHost("h2", "127.0.0.2");
        for (const std::uint64_t id : {11, 12})
            view->indexes["g"].snapshots.push_back({id, makeShards()});
        profile().group = "g";
        profile().minCoverage = 0.7;
        profile().enoughAfter = profile().deadline = std::chrono::seconds(5);
        entry::EntryHooks hooks;
        hooks.currentView = [this] { return view; };
        entry::QueryExecutorOptions options;
        options.host = "h1";
        options.canary = canary;
        options.dispatchPort = first_.endpoint.port();
        executor_ = std::make_unique<entry::QueryExecutor>(runtime, metrics, links, hooks, options);
        runtime.start();
    }

    ~QueryFixture()
    {
        // Pending sub-requests hold references to their queries. Closing the links fails them,
        // which needs the runtime to process the handlers.
        links.close();
        std::this_thread::sleep_for(TeardownDelay);
        runtime.stop();
    }

    protocol::Profile &profile() { return view->profiles["p"]; }

    /// @return the dispatcher at an index of the ranking; 0 is the owner of every shard.
    FakeDispatcher &ranked(std::size_t index)
    {
        return state::rankDispatchers(*view, "v").at(index) == "h1" ? first_ : second_;
    }

    std::future<protocol::QueryResponse> start(const std::string &query,
                                               entry::LateAnswerHandler onLateAnswer = {})
    {
        protocol::QueryRequest request;
        request.profile = "p";
        request.caller = "c";
        request.query = query;
        request.key = "k";
        auto run = executor_->execute(std::move(request), runtime.clock().now(),
                                      std::move(onLateAnswer));
        return boost::asio::co_spawn(runtime.makeStrand(), std::move(run), boost::asio::use_future);
    }

    protocol::QueryResponse run(const std::string &query) { return start(query).get(); }

    transport::Metrics metrics;
    transport::Runtime runtime{3};
    std::shared_ptr<state::ClusterView> view = std::make_shared<state::ClusterView>();
    std::atomic<int> unmatched = 0;
    entry::DispatcherLinkPool links{runtime, makeLinkOptions()};

private:
    void addHost(const std::string &name, const std::string &address)
    {
        view->entryHosts[name] = {name, protocol::HostKind::Entry, address, "d", ""};
    }

    static std::vector<protocol::Shard> makeShards()
    {
        std::vector<protocol::Shard> shards;
        const auto width = protocol::KeySpaceSize / Shards;
        for (std::uint32_t i = 0; i < Shards; ++i)
            shards.push_back({"s" + std::to_string(i), "v", i * width, (i + 1) * width});
        return shards;
    }

    entry::LinkOptions makeLinkOptions()
    {
        entry::LinkOptions options;
        options.makeHello = [] { return protocol::Hello{}; };
        options.onPeerRevision = [](std::uint64_t) {};
        options.onUnmatchedResult = [this] { ++unmatched; };
        return options;
    }

    FakeDispatcher first_;
    FakeDispatcher second_;
    std::unique_ptr<entry::QueryExecutor> executor_;
};

} // namespace persimmon::tests
