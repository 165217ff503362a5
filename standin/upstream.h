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

/// Identity and capacity of one upstream.
struct UpstreamSettings
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
    double spread = 0.2;
    std::uint64_t seed = 1;
};

/// One upstream server with its own address. All calls come from the runtime's only thread.
class Upstream
{
public:
    Upstream(transport::Runtime &runtime, UpstreamSettings settings, ExecutionLog &log);

    /// Begins to listen.
    transport::TransportResult<transport::Endpoint> start();

    /// Drops all connections, refuses connections for @p downtime and returns cold with a new
    /// incarnation.
    void crash(std::chrono::milliseconds downtime = DefaultDowntime);

    /// Becomes cold without a sign to its clients; the incarnation stays.
    void makeCold() { slots_.makeCold(); }

    /// Stops answering on the connections that are open now; new ones work.
    void silenceOpenConnections();

    /// Adds the shards that this upstream holds in @p snapshot.
    void addSnapshot(const protocol::SnapshotMap &snapshot);
    void removeOlderSnapshots(std::uint64_t newest)
    {
        held_.erase(held_.begin(), held_.lower_bound(newest));
    }

    UpstreamFaults &faults() { return faults_; }
    const UpstreamSettings &settings() const { return settings_; }
    const SlotModel &slots() const { return slots_; }
    std::string incarnation() const;
    std::vector<std::uint64_t> heldSnapshots() const;

    static constexpr std::chrono::milliseconds DefaultDowntime{500};

private:
    struct Connection
    {
        bool isNew = true;
        bool silent = false;
        std::uint64_t life = 0;
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
        std::uint64_t life = 0;
        transport::TimePoint arrivedAt{};
    };
    using TaskPointer = std::shared_ptr<Task>;
    using Response = boost::asio::awaitable<transport::HttpResponse>;

    transport::HttpHandler acceptConnection();
    Response handle(std::shared_ptr<Connection> connection, transport::HttpRequest request);
    Response handleExecute(transport::HttpRequest request);
    Response runTask(TaskPointer task);
    void logOverload() const;
    transport::HttpResponse handleCancel(const transport::HttpRequest &request);
    transport::HttpResponse healthResponse() const;
    transport::HttpResponse loadResponse() const;
    transport::HttpResponse refuse(protocol::UpstreamRefusal reason);
    bool holds(std::uint64_t snapshot, const std::string &shard) const;
    void beginTask(Task &task);
    void notePeakLoad();
    void endTask(const TaskPointer &task, bool completed);
    std::chrono::microseconds drawServiceTime();
    /// Waits until the posted close of all connections has run, so that no answer leaves.
    Response waitForClose();

    transport::Runtime &runtime_;
    UpstreamSettings settings_;
    ExecutionLog &log_;
    SlotModel slots_;
    UpstreamFaults faults_;
    std::mt19937_64 random_;
    std::unique_ptr<transport::HttpServer> server_;
    std::list<std::weak_ptr<Connection>> connections_;
    std::list<TaskPointer> tasks_;
    std::map<std::uint64_t, std::set<std::string>> held_;
    /// Start of the process, so that incarnations differ after it restarts.
    std::int64_t processStart_ = std::chrono::system_clock::now().time_since_epoch().count();
    /// Counts starts; work of an earlier life has no effect.
    std::uint64_t life_ = 1;
    bool down_ = false;
};

} // namespace persimmon::standin
