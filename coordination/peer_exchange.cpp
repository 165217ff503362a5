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
/// Longest wait for news of a peer's copy; shorter than what the asker waits.
constexpr std::chrono::milliseconds PeerWatchTime{3500};
constexpr std::chrono::milliseconds ExchangeTimeout{600};
/// Pause before a host that did not answer is asked again; doubles up to the longest.
constexpr std::chrono::milliseconds FirstRetry{500};
constexpr int MostDoublings = 3;
/// Rounds right after the start, until the hosts know each other.
constexpr int FastRounds = 10;
constexpr std::chrono::milliseconds FastRoundTime{50};
/// After its start a host takes records only from hosts of its region for this time: all records
/// are a large answer, and transfer between regions is dear.
constexpr std::chrono::milliseconds NearRecordsTime{1500};

} // namespace

PeerExchange::PeerExchange(transport::Runtime &runtime, state::EntryMembership &membership,
                           RecordFollower &follower, std::function<void()> onMembership)
    : runtime_(runtime),
      membership_(membership),
      follower_(follower),
      onMembership_(std::move(onMembership)),
      server_(runtime,
              [this](transport::HttpRequest request) { return answer(std::move(request)); }),
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
        membership_.beat();
        for (const auto &peer : gossip_.nextPeers())
            runtime_.spawn(ask(peer));
        co_await runtime_.clock().sleep(round < FastRounds ? FastRoundTime : RoundTime);
    }
}

void PeerExchange::expire()
{
    if (!membership_.expire(runtime_.clock().now()))
        return;
    transport::logWarning(Part, "a host is silent and counts as dead",
                          {{"live", std::to_string(membership_.liveCount())}});
    onMembership_();
}

void PeerExchange::announce()
{
    for (const auto &peer : gossip_.announcePeers())
        runtime_.spawn(ask(peer));
}

void PeerExchange::wakeWatchers()
{
    for (const auto &watcher : watchers_)
        watcher->notify();
}

asio::awaitable<Result<state::RecordDelta, StoreFailure>>
PeerExchange::watchPeer(std::string peer, std::uint64_t after, std::chrono::milliseconds wait)
{
    auto connection = watchConnection_;
    if (!connection || peer != watchedPeer_ || !connection->isOpen()
        || connection->isPeerClosed()) {
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
    }
    PeerMessage question;
    question.revision = after;
    transport::HttpRequest request("POST", WatchTarget, encodePeerMessage(question));
    const auto response = co_await connection->send(std::move(request), wait + ExchangeTimeout);
    if (!isOk(response))
        co_return StoreFailure::Unavailable;
    const auto message = decodePeerMessage(valueOf(response).body);
    if (!isOk(message))
        co_return StoreFailure::Malformed;
    co_return valueOf(message).delta.value_or(state::RecordDelta{});
}

asio::awaitable<transport::HttpResponse> PeerExchange::answerWatch(transport::HttpRequest request)
{
    const auto decoded = decodePeerMessage(request.body);
    if (!isOk(decoded))
        co_return transport::HttpResponse(400, "{}");
    const auto after = valueOf(decoded).revision;
    const auto until = runtime_.clock().now() + PeerWatchTime;
    const auto watcher = std::make_shared<transport::OneShot>(co_await asio::this_coro::executor);
    watchers_.insert(watcher);
    while (follower_.mirror().revision() <= after && runtime_.clock().now() < until)
        co_await watcher->waitUntil(until);
    watchers_.erase(watcher);
    PeerMessage reply;
    reply.revision = follower_.mirror().revision();
    if (reply.revision > after)
        reply.delta = follower_.mirror().deltaSince(after);
    co_return transport::HttpResponse(200, encodePeerMessage(reply));
}

asio::awaitable<void> PeerExchange::ask(std::string peer)
{
    auto &slot = links_[peer];
    if (!slot)
        slot = std::make_shared<Link>();
    const auto link = slot;
    if (link->busy || runtime_.clock().now() < link->nextTry)
        co_return;
    link->busy = true;
    const bool answered = co_await askOnce(peer, link);
    link->busy = false;
    if (!answered && link->connection) {
        link->connection->close();
        link->connection.reset();
    }
}

bool PeerExchange::mayBringRecords(const std::string &peer) const
{
    return membership_.isNear(peer) || runtime_.clock().now() - startedAt_ > NearRecordsTime;
}

asio::awaitable<bool> PeerExchange::askOnce(std::string peer, std::shared_ptr<Link> link)
{
    if (!link->connection || !link->connection->isOpen() || link->connection->isPeerClosed()) {
        const auto endpoint = transport::parseEndpoint(peer);
        if (!isOk(endpoint))
            co_return false;
        link->connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
        const auto connected =
                co_await link->connection->connect(valueOf(endpoint), ExchangeTimeout);
        if (!isOk(connected)) {
            noteFailure(peer, *link, errorOf(connected).message);
            co_return false;
        }
    }
    auto question = gossip_.question(peer);
    question.revision = follower_.mirror().revision();
    question.wantsRecords = follower_.needsPeers() && mayBringRecords(peer);
    transport::HttpRequest request("POST", ExchangeTarget, encodePeerMessage(question));
    const auto response = co_await link->connection->send(std::move(request), ExchangeTimeout);
    if (!isOk(response)) {
        noteFailure(peer, *link, errorOf(response).message);
        co_return false;
    }
    const auto message = decodePeerMessage(valueOf(response).body);
    if (!isOk(message)) {
        noteFailure(peer, *link, errorOf(message).message);
        co_return false;
    }
    if (link->failures > 0)
        transport::logInfo(Part, "host answers again", {{"host", peer}});
    link->failures = 0;
    take(valueOf(message));
    gossip_.onAnswered(valueOf(message));
    co_return true;
}

void PeerExchange::noteFailure(const std::string &peer, Link &link, const std::string &reason)
{
    if (link.failures == 0)
        transport::logWarning(Part, "host does not answer", {{"host", peer}, {"reason", reason}});
    const auto doublings = std::min(link.failures, MostDoublings);
    ++link.failures;
    link.nextTry = runtime_.clock().now() + FirstRetry * (1 << doublings);
}

asio::awaitable<transport::HttpResponse> PeerExchange::answer(transport::HttpRequest request)
{
    if (request.target == WatchTarget)
        co_return co_await answerWatch(std::move(request));
    const auto decoded = decodePeerMessage(request.body);
    if (!isOk(decoded)) {
        transport::logWarning(Part, "exchange refused", {{"reason", errorOf(decoded).message}});
        co_return transport::HttpResponse(400, "{}");
    }
    const auto &message = valueOf(decoded);
    take(message);
    auto reply = gossip_.answer(message);
    reply.revision = follower_.mirror().revision();
    if (message.wantsRecords && reply.revision > message.revision)
        reply.delta = follower_.mirror().deltaSince(message.revision);
    co_return transport::HttpResponse(200, encodePeerMessage(reply));
}

void PeerExchange::take(const PeerMessage &message)
{
    if (gossip_.take(message, runtime_.clock().now())) {
        transport::logInfo(Part, "hosts changed",
                           {{"live", std::to_string(membership_.liveCount())}});
        onMembership_();
    }
    if (message.delta)
        follower_.takeFromPeer(*message.delta);
    follower_.notePeerRevision(message.revision);
}

} // namespace persimmon::coordination
