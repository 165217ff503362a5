#include "coordination/view_agent.h"

#include "coordination/agent_peers.h"
#include "coordination/jitter.h"
#include "coordination/lag_monitor.h"
#include "coordination/view_exchange.h"
#include "coordination/view_refresh.h"

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace persimmon::coordination {

namespace {

constexpr auto ExchangeTimeout = 500ms;
constexpr std::size_t PeersPerRound = 2;
/// Time for which the service may hold a watch request. The reply confirms the view, so this must
/// be well below MaxConfirmationAge.
constexpr auto WatchWait = 2000ms;
/// An agent whose view has not been confirmed for this time reads the service directly.
constexpr auto MaxConfirmationAge = 5s;
/// Delay between the reply to a watch request and the next request.
constexpr auto WatchInterval = 50ms;
constexpr auto RoleCheckInterval = 250ms;
/// After a pause, an agent that reaches neither the service nor a ready peer for this time serves
/// its existing view. Otherwise an isolated host would refuse all work until connectivity returns.
constexpr auto RejoinTimeout = 5s;
/// Requests to the service per join attempt: configuration and host list.
constexpr std::size_t JoinReads = 2;

} // namespace

struct ViewAgent::State : std::enable_shared_from_this<ViewAgent::State>
{
    State(transport::Runtime &owner, transport::Metrics &metrics, ViewAgentOptions settings)
        : runtime(owner),
          options(std::move(settings)),
          store(options.host, "agent"),
          lag(owner.clock().now()),
          serviceReads(metrics.counter(
                  "persimmon_agent_service_reads_total",
                  "Requests to the configuration service, including those for the host list.")),
          exchanges(metrics.counter("persimmon_agent_exchanges_total",
                                    "View exchanges started with peers.")),
          exchangeBytes(
                  metrics.counter("persimmon_agent_exchange_served_bytes_total",
                                  "Bytes of view exchange request and response bodies served."))
    {
    }

    using Reader = asio::awaitable<bool> (*)(SharedViewStore &, ConfigServiceClient &,
                                             transport::Clock &, std::chrono::milliseconds);
    using Loop = asio::awaitable<void> (State::*)();

    transport::TimePoint now() const { return runtime.clock().now(); }

    void run(Loop loop)
    {
        auto task = [](std::shared_ptr<State> self, Loop body) -> asio::awaitable<void> {
            co_await (self.get()->*body)();
        };
        runtime.spawn(task(shared_from_this(), loop));
    }

    bool isReady()
    {
        return store.read([](auto &views) { return views.isReady(); });
    }

    void becomeReady();
    asio::awaitable<void> join();
    asio::awaitable<bool> joinOnce(ConfigServiceClient &client);
    asio::awaitable<bool> exchangeWith(transport::Endpoint peer);
    asio::awaitable<void> watchConfig() { return watch(refreshConfig); }
    asio::awaitable<void> watchHosts() { return watch(refreshHosts); }
    asio::awaitable<void> watch(Reader read);
    asio::awaitable<void> exchangeLoop();
    asio::awaitable<void> pauseCheckLoop();
    std::vector<transport::Endpoint> choosePeers();

    transport::Runtime &runtime;
    const ViewAgentOptions options;
    SharedViewStore store;
    LagMonitor lag;
    transport::Counter &serviceReads;
    transport::Counter &exchanges;
    transport::Counter &exchangeBytes;
    std::atomic<bool> stopped = false;
    std::unique_ptr<transport::HttpServer> server;
};

void ViewAgent::State::becomeReady()
{
    store.read([](auto &views) { views.setReady(true); });
    transport::logInfo("agent", "View is ready.",
                       {{"revision", std::to_string(store.view()->configRevision)}});
}

std::vector<transport::Endpoint> ViewAgent::State::choosePeers()
{
    const auto view = store.view();
    auto chosen = randomAgentPeers(*view, options.host, options.address.port(), PeersPerRound);
    return chosen.empty() ? options.peers : chosen;
}

asio::awaitable<bool> ViewAgent::State::exchangeWith(transport::Endpoint peer)
{
    exchanges.add();
    transport::RpcClient client(co_await asio::this_coro::executor, peer);
    const auto ready = co_await exchangeView(client, store, runtime.clock(), ExchangeTimeout);
    co_return isOk(ready) && valueOf(ready);
}

asio::awaitable<bool> ViewAgent::State::joinOnce(ConfigServiceClient &client)
{
    // Peers are queried as well because the service may reply from a stale replica. They are
    // queried first because the number of hosts in their list determines the startup delay.
    auto peers = choosePeers();
    peers.insert(peers.end(), options.peers.begin(), options.peers.end());
    bool peerReady = false;
    for (const auto &peer : peers) {
        if (peer != options.address && co_await exchangeWith(peer))
            peerReady = true;
    }
    const auto hosts = store.view()->entryHosts.size();
    co_await runtime.clock().sleep(startupReadDelay(hosts, JoinReads));
    serviceReads.add(JoinReads);
    const auto startedAt = now();
    const bool hasConfig = co_await refreshConfig(store, client, runtime.clock(), 0ms);
    const bool hasHosts = co_await refreshHosts(store, client, runtime.clock(), 0ms);
    const bool confirmed = hasConfig && hasHosts && store.read([&](auto &views) {
        return views.confirmedAge(now()) <= now() - startedAt;
    });
    co_return peerReady || confirmed;
}

asio::awaitable<void> ViewAgent::State::join()
{
    const auto startedAt = now();
    // An agent that was ready before the pause already has a complete view.
    const bool hasView = store.read([](auto &views) { return views.isComplete(); });
    ConfigServiceClient client(co_await asio::this_coro::executor, options.service);
    int attempts = 0;
    while (!stopped) {
        if (co_await joinOnce(client))
            break;
        if (hasView && now() - startedAt > RejoinTimeout)
            break;
        co_await runtime.clock().sleep(startupRetryDelay(++attempts));
    }
    becomeReady();
}

asio::awaitable<void> ViewAgent::State::watch(Reader read)
{
    ConfigServiceClient client(co_await asio::this_coro::executor, options.service);
    while (!stopped) {
        const auto view = store.view();
        const auto hosts = view->entryHosts.size();
        const bool unconfirmed = store.read(
                [this](auto &views) { return views.confirmedAge(now()) > MaxConfirmationAge; });
        const bool watching = isWatchingAgent(*view, options.host);
        if (!isReady() || (!watching && !unconfirmed)) {
            co_await runtime.clock().sleep(RoleCheckInterval);
            continue;
        }
        // Limits the load on a stale or unresponsive service to that of an agent without a watch.
        if (unconfirmed)
            co_await runtime.clock().sleep(directReadInterval(hosts));
        serviceReads.add();
        const auto wait = watching && !unconfirmed ? WatchWait : 0ms;
        const bool succeeded = co_await read(store, client, runtime.clock(), wait);
        const auto delay = succeeded ? WatchInterval : jitter(500ms, 1000ms);
        co_await runtime.clock().sleep(delay);
    }
}

asio::awaitable<void> ViewAgent::State::exchangeLoop()
{
    while (!stopped) {
        const auto interval = options.exchangeInterval;
        co_await runtime.clock().sleep(jitter(interval * 4 / 5, interval * 6 / 5));
        for (const auto &peer : choosePeers()) {
            if (!stopped && peer != options.address)
                co_await exchangeWith(peer);
        }
    }
}

asio::awaitable<void> ViewAgent::State::pauseCheckLoop()
{
    while (!stopped) {
        co_await runtime.clock().sleep(LagMonitor::TickInterval);
        store.update([this](auto &views) { return views.expire(now()); });
        if (!lag.tick(now()) || !isReady())
            continue;
        transport::logWarning("agent", "Process was paused; the view requires confirmation.");
        store.read([](auto &views) { views.setReady(false); });
        run(&State::join);
    }
}

ViewAgent::ViewAgent(transport::Runtime &runtime, transport::Metrics &metrics,
                     ViewAgentOptions options)
    : state_(std::make_shared<State>(runtime, metrics, std::move(options)))
{
}

ViewAgent::~ViewAgent()
{
    stop();
}

Status<transport::TransportError> ViewAgent::start()
{
    const auto methods = std::make_shared<transport::RpcService>();
    methods->add(ViewExchangeMethod, [state = state_.get()](const Json::Value &parameters) {
        // The first request after a pause may be handled before the next tick.
        if (state->lag.isPaused(state->now()))
            throw std::runtime_error("the agent was paused and its view is not confirmed yet");
        return handleViewExchange(parameters, state->store, state->now());
    });
    auto handler =
            [methods, weak = std::weak_ptr(state_)](
                    transport::HttpRequest request) -> asio::awaitable<transport::HttpResponse> {
        const auto state = weak.lock();
        if (!state || request.target != transport::RpcPath)
            co_return transport::HttpResponse{404, "{}"};
        auto response = methods->handle(request.body);
        state->exchangeBytes.add(request.body.size() + response.body.size());
        co_return response;
    };
    state_->server = std::make_unique<transport::HttpServer>(state_->runtime, std::move(handler));
    const auto bound = state_->server->listen(state_->options.address);
    if (!isOk(bound))
        return errorOf(bound);
    state_->run(&State::join);
    state_->run(&State::watchConfig);
    state_->run(&State::watchHosts);
    state_->run(&State::exchangeLoop);
    state_->run(&State::pauseCheckLoop);
    return Ok{};
}

void ViewAgent::stop()
{
    state_->stopped = true;
    if (state_->server)
        state_->server->close();
}

bool ViewAgent::isReady() const
{
    return state_->isReady();
}

std::shared_ptr<const state::ClusterView> ViewAgent::view() const
{
    return state_->store.view();
}

const AuditTrail &ViewAgent::audit() const
{
    return state_->store.audit();
}

} // namespace persimmon::coordination
