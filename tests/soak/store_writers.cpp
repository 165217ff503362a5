#include "tests/soak/store_writers.h"

#include "tests/soak/invariant_checker.h"

#include <algorithm>
#include <sstream>

namespace persimmon::tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinRewriteDelay{300};
constexpr milliseconds MaxRewriteDelay{2000};
/// Three heartbeat intervals, after which the registration of an upstream that has left expires.
constexpr milliseconds ExpiryTime{3600};

} // namespace

StoreWriters::StoreWriters(PlatformCluster &cluster, std::uint32_t seed)
    : cluster_(cluster),
      random_(seed)
{
}

void StoreWriters::write(const std::string &name, bool deletes, const std::function<void()> &write)
{
    write();
    lastWrites_[name] = {write, deletes, cluster_.store().revision()};
}

void StoreWriters::putConfig(int version)
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"services":[],"limits":{"max_header_bytes":16384,)"
         << R"("max_body_bytes":262144,"header_ms":3000,"idle_ms":15000},"routes":[)";
    const auto prefixes = {std::string("/g/"), "/v" + std::to_string(version) + "/",
                           "/v" + std::to_string(version - 1) + "/"};
    for (const auto &prefix : prefixes) {
        text << R"({"name":")" << prefix << R"(","host":"h.example","prefix":")" << prefix
             << R"(","kind":"idempotent","deadline_ms":1500,"goal_ms":400,"priority":1,)"
             << R"("gather":["s0","s1","s2","s3"],"max_attempts":2,"min_fraction":0.5,"top_k":)"
             << SoakParameters::TopK << "},";
    }
    text << R"({"name":"pay","host":"h.example","prefix":"/pay/","kind":"non_idempotent",)"
         << R"("deadline_ms":1500,"goal_ms":400,"priority":0,"service":"pay","max_attempts":2},)"
         << R"({"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent",)"
         << R"("deadline_ms":1500,"goal_ms":400,"priority":1,"service":"look","max_attempts":2}]})";
    write("config", false,
          [this, config = text.str()] { cluster_.store().put("op/config", config); });
    if (firstRevision_ == 0)
        firstRevision_ = cluster_.store().revision();
}

void StoreWriters::registerUpstream(const std::string &id, const std::string &state)
{
    write(id, false, [this, id, state] { cluster_.registerUpstream(id, state); });
}

void StoreWriters::deregisterUpstream(const std::string &id)
{
    write(id, true, [this, id] { cluster_.deregisterUpstream(id); });
}

void StoreWriters::restoreStore(milliseconds age)
{
    auto &store = cluster_.store();
    store.restore(std::max(firstRevision_, store.revisionBefore(age)));
    std::uniform_int_distribution<milliseconds::rep> delay(MinRewriteDelay.count(),
                                                           MaxRewriteDelay.count());
    for (auto &[name, last] : lastWrites_) {
        if (last.revision <= store.revision())
            continue;
        const milliseconds rewriteDelay(delay(random_));
        last.dueAt = Clock::now() + (last.deletes ? ExpiryTime : rewriteDelay);
    }
}

bool StoreWriters::writeDue()
{
    bool isDone = true;
    for (auto &[name, last] : lastWrites_) {
        if (last.dueAt == Clock::time_point{})
            continue;
        if (Clock::now() < last.dueAt) {
            isDone = false;
            continue;
        }
        last.dueAt = {};
        last.write();
        last.revision = cluster_.store().revision();
    }
    return isDone;
}

} // namespace persimmon::tests
