#pragma once

#include "dispatch/dispatch_hooks.h"
#include "dispatch/dispatch_session.h"
#include "dispatch/json_service_executor.h"
#include "state/crash_tracker.h"

#include <json/value.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace persimmon::dispatch {

/// Receives batches from entries over frame connections, executes their sub-requests on upstreams
/// and sends exactly one result for each. Stop the runtime before destroying the server, since
/// handlers refer to it.
class DispatchServer
{
public:
    DispatchServer(transport::Runtime &runtime, transport::Metrics &metrics,
                   DispatchOptions options, DispatchHooks hooks);

    /// @param endpoint address to listen on; with port 0 the system chooses a free port.
    /// @return the bound endpoint, or BindFailed.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Applies the current view to all services at once. Without this each batch applies it.
    void onViewChanged();

    /// Refuses new batches with ShuttingDown, waits until all pending sub-requests are answered
    /// and closes the server.
    boost::asio::awaitable<void> drain();

    /// @return number of pending sub-requests.
    std::size_t active() const { return pendingReplies_; }

    /// @return the concurrency ramp of each upstream by service: {service: {upstream: {available,
    ///         limit, share, in_flight}}}.
    Json::Value ramps() const;

    /// @return {service: {first, waiting, extra_load_tokens}} of the services that have received
    ///         sub-requests.
    Json::Value services() const;

    /// @return {host, draining, ready, active, config_revision}.
    Json::Value status() const;

private:
    using Session = std::shared_ptr<DispatchSession>;

    transport::FrameOptions makeFrameOptions();
    void onAccept(const std::shared_ptr<transport::FrameConnection> &connection);
    void onFrame(const Session &session, const std::string &payload);
    void onHello(const Session &session, const protocol::Hello &hello);
    void onBatch(const Session &session, protocol::Batch batch);
    void onCancel(const Session &session, const protocol::Cancel &cancel);
    void onClosed(const Session &session);
    boost::asio::awaitable<void> admitAfterRevalidation(Session session, protocol::Batch batch);
    void admit(const Session &session, const protocol::Batch &batch);
    void refuse(const Session &session, const protocol::Batch &batch, protocol::SubError error);
    void submit(const Session &session, const protocol::Batch &batch,
                const protocol::SubRequest &subRequest,
                const std::shared_ptr<const state::ClusterView> &view);
    bool isQuarantined(const state::ClusterView &view, std::uint64_t fingerprint) const;
    void quarantine(std::uint64_t fingerprint);
    std::shared_ptr<JsonServiceExecutor> getOrCreateExecutor(const std::string &service,
                                                             const std::string &group);
    std::shared_ptr<JsonServiceExecutor> findExecutor(const std::string &service) const;
    std::map<std::string, std::shared_ptr<JsonServiceExecutor>> executors() const;
    std::uint64_t revision() const;

    transport::Runtime &runtime_;
    const DispatchOptions options_;
    const DispatchHooks hooks_;
    UpstreamClient upstreamClient_;
    DispatchMetrics metrics_;
    ServiceExecutorContext executorContext_;
    transport::FrameServer frameServer_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::size_t> pendingReplies_ = 0;
    std::atomic<std::uint64_t> nextSubRequestId_;
    std::atomic<std::uint64_t> heartbeatsSent_ = 0;
    mutable std::mutex executorsMutex_;
    std::map<std::string, std::shared_ptr<JsonServiceExecutor>> executors_;
    mutable std::mutex quarantineMutex_;
    /// Fingerprints quarantined by this dispatcher, with the time of expiry. They appear in the
    /// view only after a delay.
    std::map<std::uint64_t, transport::TimePoint> localQuarantine_;
    /// Quarantined fingerprints of the last applied view.
    std::set<std::uint64_t> viewQuarantine_;
};

} // namespace persimmon::dispatch
