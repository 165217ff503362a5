#include "coordination/record_follower.h"

#include "coordination/jitter.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::coordination {

namespace {

constexpr const char *Part = "store";
/// Longest time for which a watch request is held. A store that stops answering is detected only
/// after this time, which must leave enough time to read it elsewhere and to apply a configuration
/// change within its bound.
constexpr std::chrono::milliseconds WatchTimeout{1000};
/// Longest time for which a watch request to a peer is held. A peer that stops answering is also
/// detected by its heartbeats.
constexpr std::chrono::milliseconds PeerWatchTimeout{4000};
/// Time for which the first watch on a connection is held, to learn whether the store answers.
constexpr std::chrono::milliseconds FirstWatchTimeout{1};
constexpr std::chrono::milliseconds MinRetryDelay{100};
constexpr std::chrono::milliseconds MaxRetryDelay{200};
/// Maximum number of doublings of the delay after failed calls, which gives at most 1.6 s.
constexpr int MaxDoublings = 3;
/// Delay between two successful calls, so that changes in quick succession arrive in one reply.
constexpr std::chrono::milliseconds CoalesceInterval{120};
/// Minimum delay before the first call; the maximum is twice as long.
constexpr std::chrono::milliseconds MinStartDelay{80};
/// A host that has received no records from a peer after this time reads the store directly.
constexpr std::chrono::milliseconds PeerLoadTimeout{2500};
/// Expected upper bound of the time between the first report of a revision by a peer and its
/// arrival by the own watch.
constexpr std::chrono::milliseconds MaxWatchLag{700};

} // namespace

RecordFollower::RecordFollower(transport::Runtime &runtime, StoreHooks store, PeerHooks peers,
                               OnChange onChange)
    : runtime_(runtime),
      store_(std::move(store)),
      peers_(std::move(peers)),
      onChange_(std::move(onChange))
{
}

void RecordFollower::start()
{
    runtime_.spawn(run());
}

asio::awaitable<void> RecordFollower::run()
{
    // Hosts discover each other first, so that only some of them read the store.
    co_await runtime_.clock().sleep(jitter(MinStartDelay, MinStartDelay * 2));
    const auto start = runtime_.clock().now();
    int failures = 0;
    while (true) {
        const bool isPeerLoadOverdue =
                !isLoaded() && runtime_.clock().now() - start > PeerLoadTimeout;
        const auto source = peers_.source();
        bool ok = false;
        if (!source.readsStore && !isPeerLoadOverdue)
            ok = co_await followPeer(source.peer);
        else if (needsSnapshot_)
            ok = co_await readSnapshot();
        else
            ok = co_await watchOnce();
        failures = ok ? 0 : failures + 1;
        const auto pause =
                jitter(MinRetryDelay, MaxRetryDelay) * (1 << std::min(failures, MaxDoublings));
        co_await runtime_.clock().sleep(ok ? CoalesceInterval : pause);
    }
}

asio::awaitable<bool> RecordFollower::followPeer(std::string peer)
{
    if (peer != peer_) {
        transport::logInfo(Part, "following the record mirror of a peer",
                           {{"host", peer}, {"revision", std::to_string(mirror_.revision())}});
        peer_ = peer;
        disconnectStore();
    }
    auto result = co_await peers_.watch(peer, mirror_.revision(), PeerWatchTimeout);
    if (!isOk(result)) {
        // Another source is tried without a retry delay.
        co_return peers_.source() != state::StoreSource{false, peer};
    }
    applyPeerDelta(valueOf(result));
    co_return true;
}

void RecordFollower::checkSource()
{
    if (peer_.empty())
        return;
    const auto source = peers_.source();
    if (source.readsStore || source.peer != peer_)
        peers_.reset();
}

void RecordFollower::disconnectStore()
{
    if (!connected_)
        return;
    connected_ = false;
    attempted_ = false;
    store_.reset();
    peers_.onStoreReachabilityChange();
}

asio::awaitable<bool> RecordFollower::readSnapshot()
{
    std::vector<state::StoreRecord> items;
    std::uint64_t asOf = 0;
    std::string after;
    bool more = true;
    while (more) {
        auto result = co_await store_.readPage(after);
        if (!isOk(result)) {
            setConnected(false, errorOf(result));
            co_return false;
        }
        auto page = takeValue(result);
        // Later pages may be newer, so the result is complete only up to the first page's revision.
        if (after.empty())
            asOf = page.asOf;
        more = page.hasMore && !page.items.empty();
        if (!page.items.empty())
            after = page.items.back().key;
        items.insert(items.end(), page.items.begin(), page.items.end());
    }
    needsSnapshot_ = false;
    setConnected(true, StoreFailure::Unavailable);
    const auto changes = mirror_.applySnapshot(items, asOf);
    transport::logInfo(Part, "loaded store snapshot",
                       {{"revision", std::to_string(asOf)},
                        {"records", std::to_string(items.size())},
                        {"news", std::to_string(changes.size())}});
    onChange_(changes);
    co_return true;
}

asio::awaitable<bool> RecordFollower::watchOnce()
{
    const auto wait = connected_ ? WatchTimeout : FirstWatchTimeout;
    auto result = co_await store_.watch(mirror_.revision(), wait);
    if (!isOk(result)) {
        needsSnapshot_ = errorOf(result) == StoreFailure::HistoryGone;
        setConnected(false, errorOf(result));
        // After a watch fails for lack of history, the complete read starts without a retry delay.
        co_return needsSnapshot_;
    }
    setConnected(true, StoreFailure::Unavailable);
    const auto &update = valueOf(result);
    const auto changes = mirror_.apply(update.records, update.asOf);
    behind_ = behind_ && mirror_.revision() < peerRevision_;
    if (!changes.empty())
        onChange_(changes);
    co_return true;
}

void RecordFollower::setConnected(bool connected, StoreFailure reason)
{
    peer_.clear();
    if (connected == connected_ && attempted_)
        return;
    connected_ = connected;
    attempted_ = true;
    peers_.onStoreReachabilityChange();
    if (connected)
        transport::logInfo(Part, "connected to store",
                           {{"revision", std::to_string(mirror_.revision())}});
    else
        transport::logWarning(Part, "store is unreachable",
                              {{"reason", std::string(enumName(StoreFailureNames, reason))},
                               {"revision", std::to_string(mirror_.revision())}});
}

void RecordFollower::applyPeerDelta(const state::RecordDelta &delta)
{
    if (delta.asOf <= mirror_.revision())
        return;
    const auto changes = mirror_.apply(delta);
    // The watch can continue from this revision, so no complete read is needed.
    needsSnapshot_ = false;
    behind_ = behind_ && mirror_.revision() < peerRevision_;
    transport::logInfo(
            Part, "applied records from a peer",
            {{"revision", std::to_string(delta.asOf)}, {"news", std::to_string(changes.size())}});
    if (!changes.empty())
        onChange_(changes);
}

void RecordFollower::observePeerRevision(std::uint64_t revision)
{
    peerRevision_ = std::max(peerRevision_, revision);
    if (revision <= mirror_.revision())
        return;
    const auto now = runtime_.clock().now();
    if (!behind_) {
        behind_ = true;
        behindSince_ = now;
        return;
    }
    if (now - behindSince_ < MaxWatchLag)
        return;
    transport::logWarning(Part, "store watch lags behind a peer; restarting it",
                          {{"revision", std::to_string(mirror_.revision())},
                           {"peer_revision", std::to_string(revision)}});
    behindSince_ = now;
    if (connected_)
        store_.reset();
}

} // namespace persimmon::coordination
