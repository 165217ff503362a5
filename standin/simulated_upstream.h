#pragma once

#include "protocol/upstream_messages.h"
#include "standin/execution_log.h"
#include "standin/slot_model.h"
#include "standin/upstream_faults.h"
#include "transport/http_server.h"

#include <list>
#include <random>
#include <set>

namespace persimmon::standin {

/// Identity, capacity and execution time distribution of one upstream.
struct SimulatedUpstreamSettings
{
    std::string name;
    std::string service;
    std::string group;
    std::string failureDomain;
    transport::Endpoint endpoint;
    protocol::GroupSettings capacity;
    /// Median execution time.
    std::chrono::microseconds serviceTime{5000};
    /// Standard deviation of the logarithm of the execution time.
    double serviceTimeSigma = 0.2;
    std::uint64_t seed = 1;
};

/// Simulates one upstream server with its own address. Not thread-safe: all calls must come from
/// the runtime's only thread.
class SimulatedUpstream
{
public:
    SimulatedUpstream(transport::Runtime &runtime, SimulatedUpstreamSettings settings,
                      ExecutionLog &log);

    /// Starts listening.
    /// @return the bound endpoint or the error of the bind.
    transport::TransportResult<transport::Endpoint> start();

    /// Closes all connections, stops listening for @p downtime and restarts cold with a new
    /// incarnation.
    void crash(std::chrono::milliseconds downtime = DefaultDowntime);

    /// Makes the upstream cold without changing its incarnation, so that clients are not notified.
    void makeCold() { slots_.makeCold(); }

    /// Stops responding on all currently open connections; new connections are not affected.
    void silenceOpenConnections();

    /// Adds the shards of this upstream's service in @p snapshot.
    void addSnapshot(const protocol::SnapshotMap &snapshot);
    /// Removes the snapshots older than @p newest.
    void removeOlderSnapshots(std::uint64_t newest)
    {
        shardsBySnapshot_.erase(shardsBySnapshot_.begin(), shardsBySnapshot_.lower_bound(newest));
    }

    UpstreamFaults &faults() { return faults_; }
    const SimulatedUpstreamSettings &settings() const { return settings_; }
    const SlotModel &slots() const { return slots_; }
    /// @return id that changes with each restart.
    std::string incarnation() const;
    /// @return ids of the snapshots whose shards this upstream serves, in ascending order.
    std::vector<std::uint64_t> heldSnapshots() const;

    static constexpr std::chrono::milliseconds DefaultDowntime{500};

private:
    struct Connection
    {
        /// Whether no request has been received yet.
        bool isNew = true;
        /// Whether requests stay without a response.
        bool silent = false;
        std::uint64_t incarnationNumber = 0;
    };
    struct Task
    {
        Task(const boost::asio::any_io_executor &executor, protocol::ExecuteRequest message)
            : timer(executor),
              request(std::move(message))
        {
        }
        boost::asio::steady_timer timer;
        protocol::ExecuteRequest request;
        bool running = false;
        bool cancelled = false;
        std::uint64_t incarnationNumber = 0;
        transport::TimePoint arrivedAt{};
    };
    using TaskPointer = std::shared_ptr<Task>;
    using Response = boost::asio::awaitable<transport::HttpResponse>;

    transport::HttpHandler acceptConnection();
    Response handle(std::shared_ptr<Connection> connection, transport::HttpRequest request);
    Response handleExecute(transport::HttpRequest request);
    Response runTask(TaskPointer task);
    void logOverload(const Task &arriving) const;
    transport::HttpResponse handleCancel(const transport::HttpRequest &request);
    transport::HttpResponse healthResponse() const;
    transport::HttpResponse loadResponse() const;
    transport::HttpResponse refuse(protocol::UpstreamRefusal reason,
                                   const protocol::ExecuteRequest &request);
    bool holdsShard(std::uint64_t snapshot, const std::string &shard) const;
    void startTask(Task &task);
    void updatePeakLoad();
    void finishTask(const TaskPointer &task, bool completed);
    std::chrono::microseconds sampleServiceTime();
    /// Waits until the posted close of all connections has run, so that no response is sent.
    Response waitForClose();

    transport::Runtime &runtime_;
    SimulatedUpstreamSettings settings_;
    ExecutionLog &log_;
    SlotModel slots_;
    UpstreamFaults faults_;
    std::mt19937_64 random_;
    std::unique_ptr<transport::HttpServer> server_;
    std::list<std::weak_ptr<Connection>> connections_;
    std::list<TaskPointer> tasks_;
    std::map<std::uint64_t, std::set<std::string>> shardsBySnapshot_;
    /// Creation time, so that incarnations stay unique across restarts of the process.
    std::int64_t createdAt_ = std::chrono::system_clock::now().time_since_epoch().count();
    /// Incremented by each crash; tasks and connections of an earlier incarnation are discarded.
    std::uint64_t incarnationNumber_ = 1;
    bool down_ = false;
};

} // namespace persimmon::standin
