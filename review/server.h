#pragma once

#include "review/record.h"
#include "review/sockets.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace persimmon::review {

/// Settings of a Server.
struct ServerOptions
{
    std::string service;
    std::string id;
    std::string ip;
    int port = 8080;
    std::string failureDomain;
    /// Requests that it processes at the same time.
    int slots = 3;
    /// Requests that may wait for a slot; it rejects others with 503 and X-Not-Executed.
    int queue = 3;
    std::chrono::milliseconds workTime{30};
    /// Body of the response to a request that has run.
    std::function<std::string(const std::string &request)> makeBody =
            [](const std::string & /*request*/) { return std::string(16, 'a'); };
    /// Status of the response to a request that has run.
    std::function<int(const std::string &request)> chooseStatus =
            [](const std::string & /*request*/) { return 200; };
};

/// Stand-in for a server of the platform. It rejects requests for another instance with 421 and
/// those beyond its slots and queue with 503, echoes the request's id, signs what has run, keeps
/// connections open, and records each run. Uses one thread per connection.
class Server
{
public:
    /// What a connection does before it answers a request, for disruptions.
    /// @param request the request that has just been read.
    /// @param previous the last response on this connection; empty before the first.
    /// @return bytes to send in front of the response to @p request.
    using LateBytes =
            std::function<std::string(const std::string &request, const std::string &previous)>;

    Server(ServerOptions options, Record &record);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @return whether it listens.
    bool isListening() const { return listener_.isValid(); }

    const ServerOptions &options() const { return options_; }

    /// @return "IP:port".
    std::string address() const { return options_.ip + ":" + std::to_string(options_.port); }

    /// Sets the disruption of its connections.
    void setLateBytes(LateBytes lateBytes) { lateBytes_ = std::move(lateBytes); }

private:
    void accept();
    void serve(const Socket &connection);
    std::string respond(const std::string &request);
    /// Waits for a slot.
    /// @return false if the queue is full.
    bool acquireSlot();
    void releaseSlot();

    const ServerOptions options_;
    Record &record_;
    LateBytes lateBytes_ = [](const std::string & /*request*/, const std::string & /*previous*/) {
        return std::string();
    };
    Socket listener_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> stampCount_ = 0;
    std::mutex mutex_;
    int running_ = 0;
    int waiting_ = 0;
    std::vector<std::shared_ptr<Socket>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace persimmon::review
