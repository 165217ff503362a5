#include "coordination/view_client.h"

#include "coordination/jitter.h"
#include "coordination/lag_monitor.h"
#include "coordination/view_exchange.h"
#include "coordination/view_refresh.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace persimmon::coordination {

namespace {

constexpr auto AgentRequestTimeout = 1s;
/// If the agent has not confirmed the view for this time, the client reads the service directly.
constexpr auto AgentReplyTimeout = 2s;
/// Minimum interval between two requests of one revalidation, or between two requests triggered by
/// the revision of a peer.
constexpr auto RetryInterval = 20ms;

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

struct ViewClient::State : std::enable_shared_from_this<ViewClient::State>
{
    State(transport::Runtime &owner, ViewClientOptions settings)
        : runtime(owner),
          options(std::move(settings)),
          strand(owner.makeStrand()),
          store(options.host, "view"),
          agent(strand, options.agent),
          service(strand, options.service),
          lag(owner.clock().now()),
          lastAgentConfirmation(owner.clock().now())
    {
    }

    transport::TimePoint now() const { return runtime.clock().now(); }

    void run(asio::awaitable<void> (State::*loop)())
    {
        asio::co_spawn(
                strand,
                [self = shared_from_this(), loop]() -> asio::awaitable<void> {
                    co_await (self.get()->*loop)();
                },
                asio::detached);
    }

    asio::awaitable<void> pollLoop();
    asio::awaitable<void> pauseCheckLoop();
    asio::awaitable<void> serviceLoop();
    asio::awaitable<void> requestView();
    asio::awaitable<bool> revalidate(transport::Duration timeout);
    void checkForPause();
    void recordConfirmation(transport::TimePoint sentAt);
    void publish();
    void applyLocalChange(const std::function<state::ViewUpdate(state::ViewStore &)> &merge);
    void scheduleRequest() { run(&State::requestView); }

    transport::Runtime &runtime;
    const ViewClientOptions options;
    const asio::any_io_executor strand;
    SharedViewStore store;
    transport::RpcClient agent;
    ConfigServiceClient service;
    LagMonitor lag;
    std::atomic<bool> stopped = false;
    std::atomic<bool> unverified = false;
    std::atomic<transport::TimePoint> lastRevisionRequest{};
    std::atomic<std::shared_ptr<const state::ClusterView>> current;

    // The members below are accessed only on the strand.
    bool requestInFlight = false;
    transport::TimePoint lastAgentConfirmation;
    std::vector<std::weak_ptr<asio::steady_timer>> waiters;
    std::vector<std::function<void(const state::ClusterView &)>> hooks;
    /// End of the last pause. Replies to requests sent earlier do not confirm the view, since they
    /// may have been received before the pause and processed after it.
    transport::TimePoint resumedAt{};
    /// Send time of the latest request whose reply confirmed the view.
    transport::TimePoint confirmedAt{};
};

void ViewClient::State::checkForPause()
{
    const auto time = now();
    if (!lag.tick(time))
        return;
    resumedAt = time;
    unverified = true;
    transport::logWarning("view", "Process was paused; the view requires confirmation.");
}

void ViewClient::State::recordConfirmation(transport::TimePoint sentAt)
{
    confirmedAt = std::max(confirmedAt, sentAt);
    if (confirmedAt >= resumedAt)
        unverified = false;
}

void ViewClient::State::publish()
{
    const bool ready = store.read([](auto &views) { return views.isReady(); });
    const auto view = store.view();
    if (!ready || view == current.load())
        return;
    current = view;
    for (const auto &hook : hooks)
        hook(*view);
}

void ViewClient::State::applyLocalChange(
        const std::function<state::ViewUpdate(state::ViewStore &)> &merge)
{
    if (store.update(merge))
        asio::post(strand, [self = shared_from_this()] { self->publish(); });
}

asio::awaitable<void> ViewClient::State::requestView()
{
    if (requestInFlight)
        co_return;
    requestInFlight = true;
    checkForPause();
    const auto sentAt = now();
    const auto ready = co_await exchangeView(agent, store, runtime.clock(), AgentRequestTimeout);
    requestInFlight = false;
    const bool confirmed = isOk(ready) && valueOf(ready);
    if (confirmed) {
        lastAgentConfirmation = now();
        store.read([](auto &views) { views.setReady(true); });
        recordConfirmation(sentAt);
    }
    publish();
    for (const auto &waiter : std::exchange(waiters, {})) {
        if (const auto timer = waiter.lock())
            timer->cancel();
    }
}

asio::awaitable<void> ViewClient::State::pollLoop()
{
    while (!stopped) {
        co_await requestView();
        co_await runtime.clock().sleep(options.interval);
    }
}

asio::awaitable<void> ViewClient::State::pauseCheckLoop()
{
    while (!stopped) {
        checkForPause();
        if (store.update([this](auto &views) { return views.expire(now()); }))
            publish();
        co_await runtime.clock().sleep(LagMonitor::TickInterval);
    }
}

asio::awaitable<void> ViewClient::State::serviceLoop()
{
    while (!stopped) {
        const auto hosts = store.view()->entryHosts.size();
        co_await runtime.clock().sleep(directReadInterval(hosts));
        if (stopped || now() - lastAgentConfirmation < AgentReplyTimeout)
            continue;
        const auto sentAt = now();
        const bool hasConfig = co_await refreshConfig(store, service, runtime.clock(), 0ms);
        const bool hasHosts = co_await refreshHosts(store, service, runtime.clock(), 0ms);
        // A stale replica also replies, but its reply does not renew the confirmation.
        const bool confirmed = hasConfig && hasHosts && store.read([&](auto &views) {
            return views.confirmedAge(now()) <= now() - sentAt;
        });
        if (confirmed) {
            store.read([](auto &views) { views.setReady(true); });
            recordConfirmation(sentAt);
        }
        publish();
    }
}

asio::awaitable<bool> ViewClient::State::revalidate(transport::Duration timeout)
{
    const auto deadline = now() + timeout;
    checkForPause();
    const auto target = unverified ? resumedAt : now();
    while (confirmedAt < target && now() < deadline) {
        const auto timer = std::make_shared<asio::steady_timer>(strand);
        timer->expires_after(deadline - now());
        waiters.push_back(timer);
        scheduleRequest();
        co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
        if (confirmedAt < target)
            co_await runtime.clock().sleep(RetryInterval);
    }
    co_return confirmedAt >= target;
}

ViewClient::ViewClient(transport::Runtime &runtime, ViewClientOptions options)
    : state_(std::make_shared<State>(runtime, std::move(options)))
{
}

ViewClient::~ViewClient()
{
    state_->stopped = true;
}

void ViewClient::start()
{
    state_->run(&State::pollLoop);
    state_->run(&State::pauseCheckLoop);
    state_->run(&State::serviceLoop);
}

std::shared_ptr<const state::ClusterView> ViewClient::view() const
{
    return state_->current.load();
}

bool ViewClient::needsRevalidation() const
{
    return state_->unverified || state_->lag.isPaused(state_->now());
}

asio::awaitable<bool> ViewClient::revalidate(transport::Duration timeout)
{
    const auto state = state_;
    auto task = [](std::shared_ptr<State> self,
                   transport::Duration limit) -> asio::awaitable<bool> {
        co_return co_await self->revalidate(limit);
    };
    co_return co_await asio::co_spawn(state->strand, task(state, timeout), asio::use_awaitable);
}

void ViewClient::observePeerRevision(std::uint64_t revision)
{
    const auto current = view();
    if (!current || revision <= current->configRevision)
        return;
    // Consecutive results often carry the same revision; one request per RetryInterval is enough.
    const auto time = state_->now();
    auto last = state_->lastRevisionRequest.load();
    if (time - last >= RetryInterval
        && state_->lastRevisionRequest.compare_exchange_strong(last, time))
        state_->scheduleRequest();
}

void ViewClient::reportQuarantine(std::uint64_t fingerprint, std::chrono::milliseconds duration)
{
    state_->applyLocalChange(
            [&](auto &views) { return views.addQuarantine(fingerprint, duration, state_->now()); });
    state_->scheduleRequest();
}

void ViewClient::reportLeaving(std::uint64_t incarnation, std::chrono::milliseconds duration)
{
    state_->applyLocalChange([&](auto &views) {
        return views.addLeaving(state_->options.host, incarnation, duration, state_->now());
    });
    state_->scheduleRequest();
}

void ViewClient::reportIncarnation(std::uint64_t incarnation, std::uint64_t epoch)
{
    const auto &host = state_->options.host;
    state_->applyLocalChange([&](auto &views) {
        // The wall clock gives a restarted process, which has lost the last version, a higher one.
        const auto version = std::max(views.incarnationVersion(host) + 1, unixMilliseconds());
        return views.addIncarnation({host, incarnation, epoch, version}, state_->now());
    });
    state_->scheduleRequest();
}

void ViewClient::onChange(std::function<void(const state::ClusterView &)> hook)
{
    asio::post(state_->strand, [state = state_, hook = std::move(hook)] {
        state->hooks.push_back(hook);
        if (const auto view = state->current.load())
            hook(*view);
    });
}

const AuditTrail &ViewClient::audit() const
{
    return state_->store.audit();
}

} // namespace persimmon::coordination
