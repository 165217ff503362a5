#pragma once

#include "host/host_options.h"

#include <memory>
#include <set>
#include <string>

namespace persimmon::host {

/// The program of one entry host: serves callers, tells them where to connect, follows the store
/// and the other hosts. For one-thread runtimes only; must outlive the runtime's handlers.
class HostDaemon
{
public:
    /// @param metrics what GET /metrics shows; parts outside the daemon may add theirs.
    HostDaemon(transport::Runtime &runtime, transport::Metrics &metrics, HostOptions options,
               HostHooks hooks);

    /// Opens all listeners and begins to follow the store and the other hosts.
    /// @return the first error.
    Status<transport::TransportError> start();

    /// Takes changed settings: seeds, limits, and times. Addresses and places need a restart.
    void reload(const HostOptions &options);

    /// Stops being ready, serves what still arrives, and ends the runtime before the grace time is
    /// over.
    boost::asio::awaitable<void> shutDown();

private:
    void onNews(const std::vector<state::StoreRecord> &news);
    void take(const state::RoutingConfig &config, std::set<std::string> &changed);
    void take(const state::UpstreamRecord &record, std::set<std::string> &changed);
    void take(const UpstreamGone &gone, std::set<std::string> &changed);
    void take(const EvacuationRecord &record, std::set<std::string> &changed);
    void take(const IgnoredRecord & /*record*/, std::set<std::string> & /*changed*/) {}
    void onMembership();
    void updatePhase();
    void updateLoad();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<transport::HttpResponse> answerLocate(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> answerReady(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> answerMetrics(transport::HttpRequest request);
    std::vector<std::string> servingRegions(const std::string &host) const;
    void addGauges();

    transport::Runtime &runtime_;
    HostOptions options_;
    const HostHooks hooks_;
    transport::Metrics &metrics_;
    dispatch::DispatchMetrics dispatchMetrics_;
    dispatch::ExecutorContext context_;
    state::UpstreamRegistry registry_;
    state::EntryMembership membership_;
    forward::ForwardPool pool_;
    forward::ServiceSet services_;
    forward::RequestForwarder forwarder_;
    coordination::RecordFollower follower_;
    coordination::PeerExchange exchange_;
    forward::FrontServer front_;
    transport::HttpServer directory_;
    transport::HttpServer ready_;
    transport::HttpServer metricsServer_;
    bool leaving_ = false;
    std::uint64_t countedSubRequests_ = 0;
    transport::Duration clockOffset_{};
};

} // namespace persimmon::host
