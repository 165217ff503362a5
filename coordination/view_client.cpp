#include "coordination/view_client.h"

#include "coordination/exchange.h"
#include "coordination/jitter.h"
#include "coordination/lag_monitor.h"
#include "coordination/service_read.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace persimmon::coordination {

namespace {

constexpr auto AgentTimeout = 1s;
/// After this silence of the agent the client reads the service itself.
constexpr auto AgentSilenceLimit = 2s;
/// Least time between two requests of one revalidation, or for revisions that peers hold.
constexpr auto RetryInterval = 20ms;

std::uint64_t wallMilliseconds()
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
          lastAnswer(owner.clock().now())
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
    asio::awaitable<void> lagLoop();
    asio::awaitable<void> serviceLoop();
    asio::awaitable<void> askAgent();
    asio::awaitable<bool> revalidate(transport::Duration timeout);
    void noteLag();
    void noteConfirmed(transport::TimePoint sentAt);
    void publish();
    void change(const std::function<state::ViewUpdate(state::ViewStore &)> &merge);
    void askSoon() { run(&State::askAgent); }

    transport::Runtime &runtime;
    const ViewClientOptions options;
    const asio::any_io_executor strand;
    SharedViewStore store;
    transport::RpcClient agent;
    PlatformClient service;
    LagMonitor lag;
    std::atomic<bool> stopped = false;
    std::atomic<bool> unverified = false;
    std::atomic<transport::TimePoint> lastNoted{};
    std::atomic<std::shared_ptr<const state::ClusterView>> current;

    // The members below are used on the strand only.
    bool busy = false;
    transport::TimePoint lastAnswer;
    std::vector<std::weak_ptr<asio::steady_timer>> waiters;
    std::vector<std::function<void(const state::ClusterView &)>> hooks;
    /// Requests sent before this time confirm nothing: their answers may have waited for the
    /// process to resume.
    transport::TimePoint resumedAt{};
    /// Time at which the last confirmed request was sent.
    transport::TimePoint confirmedAt{};
};

void ViewClient::State::noteLag()
{
    const auto time = now();
    if (!lag.tick(time))
        return;
    resumedAt = time;
    unverified = true;
    transport::logWarning("view", "The process was paused; its view needs a confirmation.");
}

void ViewClient::State::noteConfirmed(transport::TimePoint sentAt)
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

void ViewClient::State::change(const std::function<state::ViewUpdate(state::ViewStore &)> &merge)
{
    if (store.update(merge))
        asio::post(strand, [self = shared_from_this()] { self->publish(); });
}

asio::awaitable<void> ViewClient::State::askAgent()
{
    if (busy)
        co_return;
    busy = true;
    noteLag();
    const auto sentAt = now();
    const auto answer = co_await exchange(agent, store, runtime.clock(), AgentTimeout);
    busy = false;
    const bool confirmed = isOk(answer) && valueOf(answer);
    if (confirmed) {
        lastAnswer = now();
        store.read([](auto &views) { views.setReady(true); });
        noteConfirmed(sentAt);
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
        co_await askAgent();
        co_await runtime.clock().sleep(options.interval);
    }
}

asio::awaitable<void> ViewClient::State::lagLoop()
{
    while (!stopped) {
        noteLag();
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
        if (stopped || now() - lastAnswer < AgentSilenceLimit)
            continue;
        const auto sentAt = now();
        const bool hasConfig = co_await readConfigInto(store, service, runtime.clock(), 0ms);
        const bool hasHosts = co_await readHostsInto(store, service, runtime.clock(), 0ms);
        // A stale replica answers too, but its answer does not renew the confirmation.
        const bool confirmed = hasConfig && hasHosts && store.read([&](auto &views) {
            return views.confirmedAge(now()) <= now() - sentAt;
        });
        if (confirmed) {
            store.read([](auto &views) { views.setReady(true); });
            noteConfirmed(sentAt);
        }
        publish();
    }
}

asio::awaitable<bool> ViewClient::State::revalidate(transport::Duration timeout)
{
    const auto deadline = now() + timeout;
    noteLag();
    const auto target = unverified ? resumedAt : now();
    while (confirmedAt < target && now() < deadline) {
        const auto timer = std::make_shared<asio::steady_timer>(strand);
        timer->expires_after(deadline - now());
        waiters.push_back(timer);
        askSoon();
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
    state_->run(&State::lagLoop);
    state_->run(&State::serviceLoop);
}

std::shared_ptr<const state::ClusterView> ViewClient::view() const
{
    return state_->current.load();
}

bool ViewClient::needsRevalidation() const
{
    return state_->unverified || state_->lag.isLate(state_->now());
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

void ViewClient::noteRevision(std::uint64_t revision)
{
    const auto current = view();
    if (!current || revision <= current->configRevision)
        return;
    // Many results in a row name the same revision; one request in RetryInterval is enough.
    const auto time = state_->now();
    auto last = state_->lastNoted.load();
    if (time - last >= RetryInterval && state_->lastNoted.compare_exchange_strong(last, time))
        state_->askSoon();
}

void ViewClient::reportQuarantine(std::uint64_t fingerprint, std::chrono::milliseconds duration)
{
    state_->change(
            [&](auto &views) { return views.addQuarantine(fingerprint, duration, state_->now()); });
    state_->askSoon();
}

void ViewClient::reportLeaving(std::uint64_t incarnation, std::chrono::milliseconds duration)
{
    state_->change([&](auto &views) {
        return views.addLeaving(state_->options.host, incarnation, duration, state_->now());
    });
    state_->askSoon();
}

void ViewClient::reportIncarnation(std::uint64_t incarnation, std::uint64_t epoch)
{
    const auto &host = state_->options.host;
    state_->change([&](auto &views) {
        // Wall time lets a replaced process, which holds no version, continue above the last one.
        const auto version = std::max(views.incarnationVersion(host) + 1, wallMilliseconds());
        return views.addIncarnation({host, incarnation, epoch, version}, state_->now());
    });
    state_->askSoon();
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
