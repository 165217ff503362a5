#include "coordination/record_follower.h"

#include "coordination/jitter.h"

namespace asio = boost::asio;

namespace persimmon::coordination {

namespace {

constexpr const char *Part = "store";
/// Longest wait of one watch. A connection that fell silent is noticed after it, which must leave
/// time to apply a configuration within its bound.
constexpr std::chrono::milliseconds WatchTime{4000};
constexpr std::chrono::milliseconds LeastRetry{150};
constexpr std::chrono::milliseconds MostRetry{400};
/// A watch delivers a change within this time of the first host that knows of it.
constexpr std::chrono::milliseconds BehindTime{700};

} // namespace

RecordFollower::RecordFollower(transport::Runtime &runtime, StoreHooks hooks, OnNews onNews)
    : runtime_(runtime),
      hooks_(std::move(hooks)),
      onNews_(std::move(onNews))
{
}

void RecordFollower::start()
{
    runtime_.spawn(run());
}

asio::awaitable<void> RecordFollower::run()
{
    while (true) {
        bool ok = false;
        if (needsSnapshot_)
            ok = co_await readAll();
        else
            ok = co_await watchOnce();
        if (!ok)
            co_await runtime_.clock().sleep(jitter(LeastRetry, MostRetry));
    }
}

asio::awaitable<bool> RecordFollower::readAll()
{
    std::vector<state::StoreRecord> items;
    std::uint64_t asOf = 0;
    std::string after;
    bool more = true;
    while (more) {
        auto result = co_await hooks_.readPage(after);
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
    auto result = co_await hooks_.watch(mirror_.revision(), WatchTime);
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
    if (revision <= mirror_.revision() || !connected_)
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
    hooks_.reset();
}

} // namespace persimmon::coordination
