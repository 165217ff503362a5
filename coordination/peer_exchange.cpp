#include "coordination/peer_exchange.h"

#include "coordination/jitter.h"

#include <algorithm>
#include <random>

namespace asio = boost::asio;

namespace persimmon::coordination {

namespace {

constexpr const char *Part = "peers";
constexpr const char *ExchangeTarget = "/exchange";
constexpr const char *WatchTarget = "/watch";
/// Longest time for which a watch request of a peer is held. A host that stands still is noticed by
/// its followers only after this time, which must leave them enough time to read the store
/// elsewhere and to apply a change within its bound.
constexpr std::chrono::milliseconds WatchHold{1000};
/// The same for hosts of earlier versions, which do not tell of the store's answers.
constexpr std::chrono::milliseconds EarlierWatchHold{3500};
constexpr std::chrono::milliseconds ExchangeTimeout{600};
/// Delay before the first retry of a host that did not reply; doubles MaxDoublings times.
constexpr std::chrono::milliseconds InitialRetryDelay{500};
constexpr int MaxDoublings = 3;
/// Number of rounds after startup that run at FastRoundInterval, to discover hosts quickly.
constexpr int FastRounds = 10;
constexpr std::chrono::milliseconds FastRoundInterval{50};
/// For this time after startup a host requests records only from hosts of its own region, since the
/// complete set of records is large and transfer between regions is expensive.
constexpr std::chrono::milliseconds LocalRecordsOnlyTime{1500};
/// Time for which a record that a peer already holds may still arrive by the own watch.
constexpr std::chrono::milliseconds PullDelay{300};

} // namespace

PeerExchange::PeerExchange(transport::Runtime &runtime, state::EntryMembership &membership,
                           RecordFollower &follower, std::function<void()> onMembershipChange,
                           SharedState sharedState)
    : runtime_(runtime),
      membership_(membership),
      follower_(follower),
      onMembershipChange_(std::move(onMembershipChange)),
      sharedState_(std::move(sharedState)),
      server_(runtime,
              [this](transport::HttpRequest request) { return handleRequest(std::move(request)); }),
      gossip_(membership, std::random_device{}())
{
}

transport::TransportResult<transport::Endpoint>
PeerExchange::listen(const transport::Endpoint &endpoint)
{
    return server_.listen(endpoint);
}

void PeerExchange::start()
{
    startedAt_ = runtime_.clock().now();
    runtime_.spawn(run());
}

asio::awaitable<void> PeerExchange::run()
{
    for (int round = 0;; ++round) {
        membership_.advanceHeartbeat();
        for (const auto &peer : gossip_.selectPeers())
            runtime_.spawn(exchangeWith(peer));
        co_await runtime_.clock().sleep(round < FastRounds ? FastRoundInterval : RoundInterval);
    }
}

void PeerExchange::expire()
{
    if (!membership_.expire(runtime_.clock().now()))
        return;
    transport::logWarning(Part, "marked host as dead after its heartbeats stopped",
                          {{"live", std::to_string(membership_.liveCount())}});
    onMembershipChange_();
}

void PeerExchange::announce()
{
    for (const auto &peer : gossip_.selectAnnouncePeers())
        runtime_.spawn(exchangeWith(peer));
}

void PeerExchange::wakeWatchers()
{
    for (const auto &watcher : watchers_)
        watcher->notify();
}

asio::awaitable<Result<state::RecordDelta, StoreFailure>>
PeerExchange::watchPeer(std::string peer, state::StorePosition after)
{
    auto connection = watchConnection_;
    if (!connection || peer != watchedPeer_ || !connection->isReusable()) {
        if (connection)
            connection->close();
        const auto endpoint = transport::parseEndpoint(peer);
        if (!isOk(endpoint))
            co_return StoreFailure::Unavailable;
        connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
        const auto connected = co_await connection->connect(valueOf(endpoint), ExchangeTimeout);
        if (!isOk(connected))
            co_return StoreFailure::Unavailable;
        watchConnection_ = connection;
        watchedPeer_ = peer;
        watchedPeerHold_ = watchHoldOf(peer);
    }
    PeerMessage query;
    query.position = after;
    transport::HttpRequest request("POST", WatchTarget, encodePeerMessage(query));
    const auto sentAt = runtime_.clock().now();
    const auto response =
            co_await connection->send(std::move(request), watchedPeerHold_ + ExchangeTimeout);
    if (!isOk(response))
        co_return StoreFailure::Unavailable;
    const auto reply = decodePeerMessage(valueOf(response).body);
    if (!isOk(reply))
        co_return StoreFailure::Malformed;
    if (valueOf(reply).storeAnswers)
        watchedPeerHold_ = WatchHold;
    mergeStoreAnswers(valueOf(reply), sentAt);
    co_return valueOf(reply).delta.value_or(state::RecordDelta{});
}

void PeerExchange::resetPeerWatch()
{
    if (watchConnection_)
        watchConnection_->close();
    watchConnection_.reset();
}

asio::awaitable<transport::HttpResponse> PeerExchange::handleWatch(transport::HttpRequest request)
{
    const auto decoded = decodePeerMessage(request.body);
    if (!isOk(decoded))
        co_return transport::HttpResponse(400, "{}");
    const auto after = valueOf(decoded).position;
    const auto until = runtime_.clock().now() + WatchHold;
    const auto watcher =
            std::make_shared<transport::AsyncAutoResetEvent>(co_await asio::this_coro::executor);
    watchers_.insert(watcher);
    while (follower_.mirror().position() <= after && runtime_.clock().now() < until)
        co_await watcher->waitUntil(until);
    watchers_.erase(watcher);
    PeerMessage reply;
    addStoreState(reply);
    if (reply.position > after)
        reply.delta = follower_.mirror().deltaSince(after);
    co_return transport::HttpResponse(200, encodePeerMessage(reply));
}

asio::awaitable<void> PeerExchange::exchangeWith(std::string peer)
{
    auto &slot = peers_[peer];
    if (!slot)
        slot = std::make_shared<PeerState>();
    const auto state = slot;
    if (state->inProgress || runtime_.clock().now() < state->retryAt)
        co_return;
    state->inProgress = true;
    const bool succeeded = co_await sendRequest(peer, state);
    state->inProgress = false;
    if (!succeeded && state->connection) {
        state->connection->close();
        state->connection.reset();
    }
}

std::chrono::milliseconds PeerExchange::watchHoldOf(const std::string &peer) const
{
    const auto found = peers_.find(peer);
    // A peer that has not said anything yet may stand still.
    const bool isEarlier =
            found != peers_.end() && !found->second->tellsStoreAnswers.value_or(true);
    return isEarlier ? EarlierWatchHold : WatchHold;
}

bool PeerExchange::mayRequestRecords(const std::string &peer) const
{
    return membership_.isInOwnRegion(peer)
           || runtime_.clock().now() - startedAt_ > LocalRecordsOnlyTime;
}

asio::awaitable<bool> PeerExchange::sendRequest(std::string peer, std::shared_ptr<PeerState> state)
{
    if (!state->connection || !state->connection->isReusable()) {
        const auto endpoint = transport::parseEndpoint(peer);
        if (!isOk(endpoint)) {
            recordFailure(peer, *state, errorOf(endpoint).message);
            co_return false;
        }
        state->connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
        const auto connected =
                co_await state->connection->connect(valueOf(endpoint), ExchangeTimeout);
        if (!isOk(connected)) {
            recordFailure(peer, *state, errorOf(connected).message);
            co_return false;
        }
    }
    auto query = gossip_.makeRequest(peer);
    addStoreState(query);
    sharedState_.addTo(query, false);
    query.wantsRecords = follower_.needsPeerRecords() && mayRequestRecords(peer);
    transport::HttpRequest request("POST", ExchangeTarget, encodePeerMessage(query));
    const auto sentAt = runtime_.clock().now();
    const auto response = co_await state->connection->send(std::move(request), ExchangeTimeout);
    if (!isOk(response)) {
        recordFailure(peer, *state, errorOf(response).message);
        co_return false;
    }
    const auto message = decodePeerMessage(valueOf(response).body);
    if (!isOk(message)) {
        recordFailure(peer, *state, errorOf(message).message);
        co_return false;
    }
    if (state->failures > 0)
        transport::logInfo(Part, "exchange with peer succeeds again", {{"host", peer}});
    state->failures = 0;
    state->tellsStoreAnswers = valueOf(message).storeAnswers.has_value();
    mergeStoreAnswers(valueOf(message), sentAt);
    applyMessage(valueOf(message));
    gossip_.onReply(valueOf(message));
    co_return true;
}

void PeerExchange::recordFailure(const std::string &peer, PeerState &state,
                                 const std::string &reason)
{
    if (state.failures == 0)
        transport::logWarning(Part, "exchange with peer failed",
                              {{"host", peer}, {"reason", reason}});
    const auto doublings = std::min(state.failures, MaxDoublings);
    ++state.failures;
    state.retryAt = runtime_.clock().now() + InitialRetryDelay * (1 << doublings);
}

asio::awaitable<transport::HttpResponse> PeerExchange::handleRequest(transport::HttpRequest request)
{
    if (request.target == WatchTarget)
        co_return co_await handleWatch(std::move(request));
    const auto decoded = decodePeerMessage(request.body);
    if (!isOk(decoded)) {
        transport::logWarning(Part, "rejected malformed peer message",
                              {{"reason", errorOf(decoded).message}});
        co_return transport::HttpResponse(400, "{}");
    }
    const auto &message = valueOf(decoded);
    applyMessage(message);
    auto reply = gossip_.makeReply(message);
    addStoreState(reply);
    sharedState_.addTo(reply, message.wantsMembers);
    if (message.wantsRecords && reply.position > message.position)
        reply.delta = follower_.mirror().deltaSince(message.position);
    co_return transport::HttpResponse(200, encodePeerMessage(reply));
}

void PeerExchange::applyMessage(const PeerMessage &message)
{
    if (gossip_.applyMessage(message, runtime_.clock().now())) {
        transport::logInfo(Part, "membership changed",
                           {{"live", std::to_string(membership_.liveCount())}});
        onMembershipChange_();
    }
    sharedState_.merge(message);
    if (message.delta && !message.members.empty())
        follower_.applyPeerDelta(*message.delta, message.members.front().control);
    follower_.observePeerPosition(message.position, message.isReconciled);
    const bool isBehind = message.position > follower_.mirror().position();
    if (!isBehind || pulling_ || message.members.empty())
        return;
    pulling_ = true;
    runtime_.spawn(pullRecords(message.members.front().control, message.position));
}

asio::awaitable<void> PeerExchange::pullRecords(std::string peer, state::StorePosition position)
{
    co_await runtime_.clock().sleep(PullDelay);
    const auto &own = follower_.mirror().position();
    const bool hasArrived = own >= position;
    if (!hasArrived) {
        transport::logInfo(Part, "pulling records that a peer already holds",
                           {{"host", peer},
                            {"era", std::to_string(own.era)},
                            {"revision", std::to_string(own.revision)},
                            {"peer_era", std::to_string(position.era)},
                            {"peer_revision", std::to_string(position.revision)}});
        co_await exchangeWith(peer);
    }
    pulling_ = false;
    if (hasArrived || own < position)
        co_return;
    // The watch of this host is late, and so may be those of its neighbours.
    for (const auto &neighbour : gossip_.selectLocalPeers())
        runtime_.spawn(exchangeWith(neighbour));
}

void PeerExchange::addStoreState(PeerMessage &message) const
{
    message.position = follower_.mirror().position();
    message.isReconciled = follower_.mirror().isReconciled();
    message.storeAnswers = toAges(follower_.availability(), runtime_.clock().now());
}

void PeerExchange::mergeStoreAnswers(const PeerMessage &reply, transport::TimePoint sentAt)
{
    if (reply.storeAnswers)
        mergeAges(*reply.storeAnswers, sentAt, runtime_.clock().now(), follower_.availability());
}

} // namespace persimmon::coordination
