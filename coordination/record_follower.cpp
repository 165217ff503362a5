#include "coordination/record_follower.h"

#include "coordination/jitter.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::coordination {

namespace {

constexpr const char *Part = "store";
/// Longest wait of one watch. A connection that fell silent is noticed after it, which must leave
/// time to apply a configuration within its bound.
constexpr std::chrono::milliseconds WatchTime{4000};
constexpr std::chrono::milliseconds LeastRetry{100};
constexpr std::chrono::milliseconds MostRetry{200};
/// The pause after a failed call doubles this often, up to 1.6 s.
constexpr int MostDoublings = 3;
/// Changes that follow each other within this time come with one call.
constexpr std::chrono::milliseconds CoalesceTime{120};
constexpr std::chrono::milliseconds FirstDelay{80};
/// A host that neither peers nor the store have told anything reads the store itself.
constexpr std::chrono::milliseconds LongestStart{2500};
/// A watch delivers a change within this time of the first host that knows of it.
constexpr std::chrono::milliseconds BehindTime{700};

} // namespace

RecordFollower::RecordFollower(transport::Runtime &runtime, StoreHooks store, PeerHooks peers,
                               OnNews onNews)
    : runtime_(runtime),
      store_(std::move(store)),
      peers_(std::move(peers)),
      onNews_(std::move(onNews))
{
}

void RecordFollower::start()
{
    runtime_.spawn(run());
}

asio::awaitable<void> RecordFollower::run()
{
    // The hosts hear of each other first, so that only some of them read.
    co_await runtime_.clock().sleep(jitter(FirstDelay, FirstDelay * 2));
    const auto start = runtime_.clock().now();
    int failures = 0;
    while (true) {
        const bool late = !isLoaded() && runtime_.clock().now() - start > LongestStart;
        const auto source = peers_.source();
        bool ok = false;
        if (!source.readsStore && !late)
            ok = co_await followPeer(source.peer);
        else if (needsSnapshot_)
            ok = co_await readAll();
        else
            ok = co_await watchOnce();
        failures = ok ? 0 : failures + 1;
        const auto pause = jitter(LeastRetry, MostRetry) * (1 << std::min(failures, MostDoublings));
        co_await runtime_.clock().sleep(ok ? CoalesceTime : pause);
    }
}

asio::awaitable<bool> RecordFollower::followPeer(std::string peer)
{
    if (peer != peer_) {
        transport::logInfo(Part, "records come from another host",
                           {{"host", peer}, {"revision", std::to_string(mirror_.revision())}});
        peer_ = peer;
        leaveStore();
    }
    auto result = co_await peers_.watch(peer, mirror_.revision(), WatchTime);
    if (!isOk(result))
        co_return false;
    takeFromPeer(valueOf(result));
    co_return true;
}

void RecordFollower::leaveStore()
{
    if (!connected_)
        return;
    connected_ = false;
    tried_ = false;
    store_.reset();
}

asio::awaitable<bool> RecordFollower::readAll()
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
        // Later pages may be newer; only what the first page covers is complete.
        if (after.empty())
            asOf = page.asOf;
        more = page.hasMore && !page.items.empty();
        if (!page.items.empty())
            after = page.items.back().key;
        items.insert(items.end(), page.items.begin(), page.items.end());
    }
    needsSnapshot_ = false;
    setConnected(true, StoreFailure::Unavailable);
    const auto news = mirror_.applySnapshot(items, asOf);
    transport::logInfo(Part, "store read",
                       {{"revision", std::to_string(asOf)},
                        {"records", std::to_string(items.size())},
                        {"news", std::to_string(news.size())}});
    onNews_(news);
    co_return true;
}

asio::awaitable<bool> RecordFollower::watchOnce()
{
    auto result = co_await store_.watch(mirror_.revision(), WatchTime);
    if (!isOk(result)) {
        needsSnapshot_ = errorOf(result) == StoreFailure::HistoryGone;
        setConnected(false, errorOf(result));
        // A complete read right after a watch that is out of history needs no pause.
        co_return needsSnapshot_;
    }
    setConnected(true, StoreFailure::Unavailable);
    const auto &changes = valueOf(result);
    const auto news = mirror_.apply(changes.records, changes.asOf);
    behind_ = behind_ && mirror_.revision() < peerRevision_;
    if (!news.empty())
        onNews_(news);
    co_return true;
}

void RecordFollower::setConnected(bool connected, StoreFailure reason)
{
    peer_.clear();
    if (connected == connected_ && tried_)
        return;
    connected_ = connected;
    tried_ = true;
    if (connected)
        transport::logInfo(Part, "store regained",
                           {{"revision", std::to_string(mirror_.revision())}});
    else
        transport::logWarning(Part, "store lost",
                              {{"reason", std::string(enumName(StoreFailureNames, reason))},
                               {"revision", std::to_string(mirror_.revision())}});
}

void RecordFollower::takeFromPeer(const state::RecordDelta &delta)
{
    if (delta.asOf <= mirror_.revision())
        return;
    const auto news = mirror_.apply(delta);
    // The watch goes on from here, so that no complete read is needed.
    needsSnapshot_ = false;
    behind_ = behind_ && mirror_.revision() < peerRevision_;
    transport::logInfo(
            Part, "records taken from a peer",
            {{"revision", std::to_string(delta.asOf)}, {"news", std::to_string(news.size())}});
    if (!news.empty())
        onNews_(news);
}

void RecordFollower::notePeerRevision(std::uint64_t revision)
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
    if (now - behindSince_ < BehindTime)
        return;
    transport::logWarning(Part, "watch missed a change that a peer knows; it is opened anew",
                          {{"revision", std::to_string(mirror_.revision())},
                           {"peer_revision", std::to_string(revision)}});
    behindSince_ = now;
    if (connected_)
        store_.reset();
}

} // namespace persimmon::coordination
