#pragma once

#include "dispatch/dispatch_hooks.h"
#include "dispatch/dispatch_session.h"
#include "dispatch/owned_service.h"
#include "state/crash_tracker.h"

#include <json/value.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace persimmon::dispatch {

/// The dispatcher: takes batches from entries over frames and answers each sub-request once.
/// Must outlive the runtime's handlers: stop the runtime before the server is destroyed.
class DispatchServer
{
public:
    DispatchServer(transport::Runtime &runtime, transport::Metrics &metrics,
                   DispatchOptions options, DispatchHooks hooks);

    /// @param endpoint address to listen on; port 0 takes a free one.
    /// @return the endpoint in use, or BindFailed.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Takes a new view at once; batches take the current one in any case.
    void onViewChanged();

    /// Refuses new batches with ShuttingDown and waits until running sub-requests are answered.
    boost::asio::awaitable<void> drain();

    /// @return number of sub-requests without a reply.
    std::size_t active() const { return active_; }

    /// @return the ramp of each upstream by service: {service: {upstream: {available, limit, share,
    ///         in_flight}}}.
    Json::Value ramps() const;

    /// @return {service: {first, waiting, extra_load_tokens}} of the services that had work.
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
    boost::asio::awaitable<void> admitAfterPause(Session session, protocol::Batch batch);
    void admit(const Session &session, const protocol::Batch &batch);
    void refuse(const Session &session, const protocol::Batch &batch, protocol::SubError error);
    void submit(const Session &session, const protocol::Batch &batch,
                const protocol::SubRequest &sub,
                const std::shared_ptr<const state::ClusterView> &view);
    bool isQuarantined(const state::ClusterView &view, std::uint64_t fingerprint) const;
    void quarantine(std::uint64_t fingerprint);
    std::shared_ptr<OwnedService> executorOf(const std::string &service, const std::string &group);
    std::shared_ptr<OwnedService> findExecutor(const std::string &service) const;
    std::map<std::string, std::shared_ptr<OwnedService>> executors() const;
    std::uint64_t revision() const;

    transport::Runtime &runtime_;
    const DispatchOptions options_;
    const DispatchHooks hooks_;
    UpstreamPool pool_;
    DispatchMetrics metrics_;
    ExecutorContext context_;
    transport::FrameServer frames_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::size_t> active_ = 0;
    std::atomic<std::uint64_t> nextId_;
    std::atomic<std::uint64_t> heartbeats_ = 0;
    mutable std::mutex servicesMutex_;
    std::map<std::string, std::shared_ptr<OwnedService>> services_;
    mutable std::mutex quarantineMutex_;
    /// Fingerprints that this dispatcher has quarantined; the view has them only a little later.
    std::map<std::uint64_t, transport::TimePoint> quarantinedUntil_;
    std::set<std::uint64_t> knownQuarantine_;
};

} // namespace persimmon::dispatch
