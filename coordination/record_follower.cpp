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
/// Interval at which a due reconciliation waits for an answer of the store.
constexpr std::chrono::milliseconds ReconcileRetryInterval{250};

} // namespace

RecordFollower::RecordFollower(transport::Runtime &runtime, StoreHooks store, PeerHooks peers,
                               RecordFollowerOptions options, OnChange onChange)
    : runtime_(runtime),
      store_(std::move(store)),
      peers_(std::move(peers)),
      options_(std::move(options)),
      onChange_(std::move(onChange)),
      mirror_(options_.contentVersionOf),
      availability_(options_.toleratedGap)
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
        log(transport::LogLevel::Info, "following the record mirror of a peer", {{"host", peer}});
        peer_ = peer;
        disconnectStore();
    }
    auto result = co_await peers_.watch(peer, mirror_.position());
    if (!isOk(result)) {
        const state::StoreSource failed{false, peer};
        if (peers_.source() == failed) {
            log(transport::LogLevel::Warning, "followed peer does not answer", {{"host", peer}});
            peers_.onSilentPeer(peer);
        }
        // Another source is tried without a retry delay.
        co_return peers_.source() != failed;
    }
    applyPeerDelta(valueOf(result), peer);
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
    const auto known = mirror_.position();
    std::vector<state::StoreRecord> items;
    state::StorePosition asOf;
    std::string after;
    bool more = true;
    transport::TimePoint sentAt;
    while (more) {
        sentAt = runtime_.clock().now();
        auto result = co_await store_.readPage(after);
        if (!isOk(result)) {
            onStoreFailure(errorOf(result));
            co_return false;
        }
        auto page = takeValue(result);
        // Later pages may be newer, so the result is complete only up to the first page's position.
        if (after.empty())
            asOf = page.asOf;
        if (page.asOf.era != asOf.era) {
            transport::logWarning(Part, "store was restored during a read; reading again");
            co_return true;
        }
        more = page.hasMore && !page.items.empty();
        if (!page.items.empty())
            after = page.items.back().key;
        items.insert(items.end(), page.items.begin(), page.items.end());
    }
    // A peer may have moved the mirror on during the read, which is no fault of the store.
    if (asOf < known) {
        log(transport::LogLevel::Warning, "store is older than the mirror; reading again",
            {{"store_era", std::to_string(asOf.era)},
             {"store_revision", std::to_string(asOf.revision)}});
        setConnected(false, StoreFailure::Unavailable);
        store_.reset();
        co_return false;
    }
    needsSnapshot_ = false;
    const auto changes = mirror_.applySnapshot(items, asOf);
    recordSource_.clear();
    setConnected(true, StoreFailure::Unavailable);
    onStoreAnswer(asOf, sentAt, std::chrono::milliseconds(0));
    log(transport::LogLevel::Info, "loaded store snapshot",
        {{"records", std::to_string(items.size())}, {"news", std::to_string(changes.size())}});
    onMirrorUpdated();
    onChange_(changes);
    co_return true;
}

asio::awaitable<bool> RecordFollower::watchOnce()
{
    const auto wait = connected_ ? WatchTimeout : FirstWatchTimeout;
    const auto after = mirror_.position();
    const auto sentAt = runtime_.clock().now();
    auto result = co_await store_.watch(after.revision, wait);
    if (!isOk(result)) {
        needsSnapshot_ = errorOf(result) == StoreFailure::HistoryGone;
        onStoreFailure(errorOf(result));
        // After a watch fails for lack of history, the complete read starts without a retry delay.
        co_return needsSnapshot_;
    }
    setConnected(true, StoreFailure::Unavailable);
    const auto &update = valueOf(result);
    if (update.asOf.era != after.era) {
        // The changes follow a history that this mirror does not hold, also if a peer has moved it
        // to the new era meanwhile.
        needsSnapshot_ = true;
        log(transport::LogLevel::Warning, "store was restored from an older copy",
            {{"store_era", std::to_string(update.asOf.era)}});
        co_return true;
    }
    onStoreAnswer(update.asOf, sentAt, wait);
    const auto changes = mirror_.apply(update.records, update.asOf);
    recordSource_.clear();
    onMirrorUpdated();
    if (!changes.empty())
        onChange_(changes);
    co_return true;
}

void RecordFollower::onStoreFailure(StoreFailure reason)
{
    // A store that no longer has the history has answered.
    if (reason != StoreFailure::HistoryGone)
        availability_.onFailure(runtime_.clock().now());
    setConnected(false, reason);
}

void RecordFollower::onStoreAnswer(const state::StorePosition &asOf, transport::TimePoint sentAt,
                                   std::chrono::milliseconds wait)
{
    storeAnsweredAt_ = runtime_.clock().now();
    if (!availability_.onAnswer(asOf.era, sentAt, wait, storeAnsweredAt_))
        return;
    log(transport::LogLevel::Info, "store answers again; asking peers whether it had an outage",
        {{"outage", availability_.outageEnd() ? "yes" : "no"}});
    peers_.onStoreReturn();
}

void RecordFollower::onMirrorUpdated()
{
    const auto &position = mirror_.position();
    behind_ = behind_ && position < peerPosition_;
    if (position.era == era_)
        return;
    const bool isFirst = era_ == 0;
    era_ = position.era;
    if (mirror_.isReconciled())
        return;
    if (!isFirst)
        log(transport::LogLevel::Warning, "store has a new era; keeping what it lacks for now");
    runtime_.spawn(reconcileAfterRestore(era_));
}

asio::awaitable<void> RecordFollower::reconcileAfterRestore(std::uint64_t era)
{
    const auto due = runtime_.clock().now() + options_.reconcileTime;
    co_await runtime_.clock().sleep(options_.reconcileTime);
    while (era == era_ && !mirror_.isReconciled()) {
        // A mirror that the store has not updated since then may lack what was written again.
        if (storeAnsweredAt_ >= due) {
            reconcile();
            co_return;
        }
        co_await runtime_.clock().sleep(ReconcileRetryInterval);
    }
}

void RecordFollower::reconcile()
{
    const auto changes = mirror_.reconcile();
    log(transport::LogLevel::Info, "reconciled with the store",
        {{"news", std::to_string(changes.size())}});
    if (!changes.empty())
        onChange_(changes);
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
        log(transport::LogLevel::Info, "connected to store");
    else
        log(transport::LogLevel::Warning, "store is unreachable",
            {{"reason", std::string(enumName(StoreFailureNames, reason))}});
}

void RecordFollower::log(transport::LogLevel level, std::string_view message,
                         std::initializer_list<transport::LogField> fields) const
{
    std::vector<transport::LogField> all{{"era", std::to_string(mirror_.position().era)},
                                         {"revision", std::to_string(mirror_.position().revision)}};
    all.insert(all.end(), fields.begin(), fields.end());
    transport::log(level, Part, message, all);
}

void RecordFollower::applyPeerDelta(const state::RecordDelta &delta, const std::string &peer)
{
    if (delta.asOf <= mirror_.position())
        return;
    const auto changes = mirror_.apply(delta);
    // The watch can continue from this position, so no complete read is needed.
    needsSnapshot_ = false;
    recordSource_ = peer;
    log(transport::LogLevel::Info, "applied records from a peer",
        {{"host", peer}, {"news", std::to_string(changes.size())}});
    onMirrorUpdated();
    if (!changes.empty())
        onChange_(changes);
}

void RecordFollower::observePeerPosition(const state::StorePosition &position, bool isReconciled)
{
    peerPosition_ = std::max(peerPosition_, position);
    const auto &own = mirror_.position();
    if (position <= own) {
        if (isReconciled && position.era == own.era && !mirror_.isReconciled())
            reconcile();
        return;
    }
    const auto now = runtime_.clock().now();
    const bool isNewEra = position.era > own.era;
    if (!behind_) {
        behind_ = true;
        behindSince_ = now;
        if (!isNewEra)
            return;
    } else if (now - behindSince_ < MaxWatchLag) {
        return;
    }
    log(transport::LogLevel::Warning, "store watch lags behind a peer; restarting it",
        {{"peer_era", std::to_string(position.era)},
         {"peer_revision", std::to_string(position.revision)}});
    behindSince_ = now;
    if (connected_)
        store_.reset();
}

} // namespace persimmon::coordination
