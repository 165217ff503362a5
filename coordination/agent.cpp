#include "coordination/agent.h"

#include "coordination/exchange.h"
#include "coordination/jitter.h"
#include "coordination/lag_monitor.h"
#include "coordination/peer_choice.h"
#include "coordination/service_read.h"

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace persimmon::coordination {

namespace {

constexpr auto ExchangeTimeout = 500ms;
constexpr std::size_t PeersInRound = 2;
/// Wait of an open watch. Its answer confirms the view, so it must be well below UnconfirmedLimit.
constexpr auto WatchWait = 2000ms;
/// Without a confirmation for this long an agent reads the service itself.
constexpr auto UnconfirmedLimit = 5s;
/// Least time between two reads of one watch.
constexpr auto WatchSpacing = 50ms;
constexpr auto RoleCheckInterval = 250ms;
/// A paused agent that reaches nobody for this long serves the view that it has, since a host
/// without any contact would otherwise refuse all work for as long as it is cut off.
constexpr auto RejoinLimit = 5s;
/// Reads of the service at a start: configuration and host list.
constexpr std::size_t JoinReads = 2;

} // namespace

struct Agent::State : std::enable_shared_from_this<Agent::State>
{
    State(transport::Runtime &owner, transport::Metrics &metrics, AgentOptions settings)
        : runtime(owner),
          options(std::move(settings)),
          store(options.host, "agent"),
          lag(owner.clock().now()),
          serviceReads(metrics.counter("persimmon_agent_service_reads_total",
                                       "Reads of the configuration service and host list.")),
          exchanges(metrics.counter("persimmon_agent_exchanges_total",
                                    "Exchanges started with peers.")),
          exchangeBytes(metrics.counter("persimmon_agent_exchange_served_bytes_total",
                                        "Bytes of exchange bodies received and answered."))
    {
    }

    using Reader = asio::awaitable<bool> (*)(SharedViewStore &, PlatformClient &,
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
    asio::awaitable<bool> joinOnce(PlatformClient &client);
    asio::awaitable<bool> exchangeWith(transport::Endpoint peer);
    asio::awaitable<void> watchConfig() { return watch(readConfigInto); }
    asio::awaitable<void> watchHosts() { return watch(readHostsInto); }
    asio::awaitable<void> watch(Reader read);
    asio::awaitable<void> exchangeLoop();
    asio::awaitable<void> lagLoop();
    std::vector<transport::Endpoint> choosePeers();

    transport::Runtime &runtime;
    const AgentOptions options;
    SharedViewStore store;
    LagMonitor lag;
    transport::Counter &serviceReads;
    transport::Counter &exchanges;
    transport::Counter &exchangeBytes;
    std::atomic<bool> stopped = false;
    std::unique_ptr<transport::HttpServer> server;
};

void Agent::State::becomeReady()
{
    store.read([](auto &views) { views.setReady(true); });
    transport::logInfo("agent", "The view is ready.",
                       {{"revision", std::to_string(store.view()->configRevision)}});
}

std::vector<transport::Endpoint> Agent::State::choosePeers()
{
    const auto view = store.view();
    auto chosen = randomPeers(*view, options.host, options.address.port(), PeersInRound);
    return chosen.empty() ? options.peers : chosen;
}

asio::awaitable<bool> Agent::State::exchangeWith(transport::Endpoint peer)
{
    exchanges.add();
    transport::RpcClient client(co_await asio::this_coro::executor, peer);
    const auto answer = co_await exchange(client, store, runtime.clock(), ExchangeTimeout);
    co_return isOk(answer) && valueOf(answer);
}

asio::awaitable<bool> Agent::State::joinOnce(PlatformClient &client)
{
    // Peers are asked too, since the service may have answered from a stale replica. They come
    // first, since their host list tells how many agents may read the service at the same time.
    auto peers = choosePeers();
    peers.insert(peers.end(), options.peers.begin(), options.peers.end());
    bool answered = false;
    for (const auto &peer : peers) {
        if (peer != options.address && co_await exchangeWith(peer))
            answered = true;
    }
    const auto hosts = store.view()->entryHosts.size();
    co_await runtime.clock().sleep(startReadDelay(hosts, JoinReads));
    serviceReads.add(JoinReads);
    const auto startedAt = now();
    const bool hasConfig = co_await readConfigInto(store, client, runtime.clock(), 0ms);
    const bool hasHosts = co_await readHostsInto(store, client, runtime.clock(), 0ms);
    const bool confirmed = hasConfig && hasHosts && store.read([&](auto &views) {
        return views.confirmedAge(now()) <= now() - startedAt;
    });
    co_return answered || confirmed;
}

asio::awaitable<void> Agent::State::join()
{
    const auto startedAt = now();
    // An agent that was ready before the join has a view to go on with.
    const bool hasView = store.read([](auto &views) { return views.isComplete(); });
    PlatformClient client(co_await asio::this_coro::executor, options.service);
    int attempts = 0;
    while (!stopped) {
        if (co_await joinOnce(client))
            break;
        if (hasView && now() - startedAt > RejoinLimit)
            break;
        co_await runtime.clock().sleep(startRetryDelay(++attempts));
    }
    becomeReady();
}

asio::awaitable<void> Agent::State::watch(Reader read)
{
    PlatformClient client(co_await asio::this_coro::executor, options.service);
    while (!stopped) {
        const auto view = store.view();
        const auto hosts = view->entryHosts.size();
        const bool unconfirmed = store.read(
                [this](auto &views) { return views.confirmedAge(now()) > UnconfirmedLimit; });
        const bool watching = isWatcher(*view, options.host);
        if (!isReady() || (!watching && !unconfirmed)) {
            co_await runtime.clock().sleep(RoleCheckInterval);
            continue;
        }
        // A stale or silent service is not asked more often than by an agent without a watch.
        if (unconfirmed)
            co_await runtime.clock().sleep(directReadInterval(hosts));
        serviceReads.add();
        const auto wait = watching && !unconfirmed ? WatchWait : 0ms;
        const bool answered = co_await read(store, client, runtime.clock(), wait);
        const auto pause = answered ? WatchSpacing : jitter(500ms, 1000ms);
        co_await runtime.clock().sleep(pause);
    }
}

asio::awaitable<void> Agent::State::exchangeLoop()
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

asio::awaitable<void> Agent::State::lagLoop()
{
    while (!stopped) {
        co_await runtime.clock().sleep(LagMonitor::TickInterval);
        store.update([this](auto &views) { return views.expire(now()); });
        if (!lag.tick(now()) || !isReady())
            continue;
        transport::logWarning("agent", "The process was paused; its view needs a confirmation.");
        store.read([](auto &views) { views.setReady(false); });
        run(&State::join);
    }
}

Agent::Agent(transport::Runtime &runtime, transport::Metrics &metrics, AgentOptions options)
    : state_(std::make_shared<State>(runtime, metrics, std::move(options)))
{
}

Agent::~Agent()
{
    stop();
}

Status<transport::TransportError> Agent::start()
{
    const auto methods = std::make_shared<transport::RpcService>();
    methods->add(ExchangeMethod, [state = state_.get()](const Json::Value &parameters) {
        // The first request after a pause may come before the next tick.
        if (state->lag.isLate(state->now()))
            throw std::runtime_error("the agent was paused and has not confirmed its view");
        return answerExchange(parameters, state->store, state->now());
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
    state_->run(&State::lagLoop);
    return Ok{};
}

void Agent::stop()
{
    state_->stopped = true;
    if (state_->server)
        state_->server->close();
}

bool Agent::isReady() const
{
    return state_->isReady();
}

std::shared_ptr<const state::ClusterView> Agent::view() const
{
    return state_->store.view();
}

const AuditTrail &Agent::audit() const
{
    return state_->store.audit();
}

} // namespace persimmon::coordination
