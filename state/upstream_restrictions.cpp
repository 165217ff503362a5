#include "state/upstream_restrictions.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace persimmon::state {

namespace {

constexpr const char *OwnObservation = "upstream";
/// Fraction of the bucket that is reserved for each step of higher urgency.
constexpr double ReservePerPriority = 0.15;
/// Nothing is reserved in one of this many slices of time, so that less urgent requests are not
/// rejected all the time.
constexpr std::int64_t SliceCount = 4;
constexpr std::chrono::milliseconds SliceTime{250};

/// @return tokens that must remain in a bucket of @p rate for more urgent requests.
double reserveFor(protocol::Priority priority, double rate, TimePoint now)
{
    if (now.time_since_epoch() / SliceTime % SliceCount == 0)
        return 0;
    const auto rank = static_cast<double>(priority);
    return rank * ReservePerPriority * std::max(0.0, rate - 1);
}

} // namespace

void UpstreamRestrictions::onRegistered(const std::string &upstream, std::uint64_t incarnation,
                                        TimePoint now)
{
    registered_[upstream] = incarnation;
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end())
        return;
    found->second.unregisteredAt.reset();
    if (incarnation <= found->second.report.incarnation)
        return;
    Upstream restarted;
    restarted.report.upstream = upstream;
    restarted.report.incarnation = incarnation;
    found->second = restarted;
    publish(found->second, OwnObservation, now);
}

void UpstreamRestrictions::onUnregistered(const std::string &upstream, TimePoint now)
{
    registered_.erase(upstream);
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end() && !found->second.unregisteredAt)
        found->second.unregisteredAt = now;
}

UpstreamRestrictions::Upstream &UpstreamRestrictions::upstreamOf(const std::string &name,
                                                                 TimePoint now)
{
    const auto [entry, isNew] = upstreams_.try_emplace(name);
    auto &upstream = entry->second;
    if (!isNew)
        return upstream;
    upstream.report.upstream = name;
    const auto registered = registered_.find(name);
    if (registered != registered_.end())
        upstream.report.incarnation = registered->second;
    else
        upstream.unregisteredAt = now;
    return upstream;
}

void UpstreamRestrictions::onNotice(const std::string &upstream, const UpstreamNotice &notice,
                                    TimePoint startedAt, TimePoint now)
{
    if (!notice.responded || (!notice.restricts() && !upstreams_.contains(upstream)))
        return;
    auto &known = upstreamOf(upstream, now);
    if (notice.pause) {
        known.pausedUntil = std::max(known.pausedUntil, now + *notice.pause);
        onPause(upstream, *notice.pause);
    }
    known.report.leaving = known.report.leaving || notice.leaving;
    if (notice.requestLimit) {
        known.heardAt = now;
        known.statedAt = now;
        applyLimit(known, *notice.requestLimit, now);
    } else if (startedAt > known.statedAt) {
        known.heardAt = now;
        applyLimit(known, 0, now);
    }
    if (!isNews(known))
        return;
    ++known.report.version;
    publish(known, OwnObservation, now);
}

bool UpstreamRestrictions::isNews(const Upstream &upstream) const
{
    RestrictionReport reported;
    if (const auto *last = reports_.find(upstream.report.upstream))
        reported = *last;
    const auto change = std::abs(upstream.report.requestLimit - reported.requestLimit);
    return change > ReportedChange * reported.requestLimit
           || upstream.report.leaving != reported.leaving;
}

void UpstreamRestrictions::applyLimit(Upstream &upstream, double limit, TimePoint now)
{
    upstream.report.requestLimit = limit;
    upstream.bucket.setRate(rateOf(upstream), now);
}

double UpstreamRestrictions::rateOf(const Upstream &upstream) const
{
    const auto limit = upstream.report.requestLimit;
    if (!share_.position)
        return 0;
    // Few hosts share a low limit, so that the first requests of all of them stay within it.
    const auto wanted = 1 + static_cast<std::uint32_t>(std::min<double>(limit, share_.hosts));
    const auto sharing = std::min(share_.hosts, wanted);
    const auto &name = upstream.report.upstream;
    const auto rotation = XXH64(name.data(), name.size(), 0);
    const auto position = (*share_.position + rotation) % share_.hosts;
    return position < sharing ? limit / sharing : 0;
}

TimePoint UpstreamRestrictions::nextStart(const std::string &upstream, protocol::Priority priority,
                                          TimePoint now) const
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end())
        return now;
    const auto &known = found->second;
    if (known.report.leaving)
        return TimePoint::max();
    const auto paused = std::max(now, known.pausedUntil);
    if (known.report.requestLimit <= 0)
        return paused;
    auto bucket = known.bucket;
    const auto rate = rateOf(known);
    bucket.setRate(rate, now);
    return std::max(paused, bucket.timeOf(1 + reserveFor(priority, rate, now), now));
}

void UpstreamRestrictions::onStarted(const std::string &upstream, TimePoint now)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || found->second.report.requestLimit <= 0)
        return;
    found->second.bucket.setRate(rateOf(found->second), now);
    found->second.bucket.take(now);
}

double UpstreamRestrictions::ownRate(const std::string &upstream) const
{
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? 0 : rateOf(found->second);
}

bool UpstreamRestrictions::isLimited(const std::string &upstream) const
{
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && found->second.report.requestLimit > 0;
}

bool UpstreamRestrictions::isLeaving(const std::string &upstream) const
{
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && found->second.report.leaving;
}

void UpstreamRestrictions::merge(const std::vector<RestrictionReport> &reports,
                                 const std::string &source, TimePoint now)
{
    for (const auto &report : reports) {
        auto &known = upstreamOf(report.upstream, now);
        const bool isNewer = std::pair(report.incarnation, report.version)
                             > std::pair(known.report.incarnation, known.report.version);
        // What the upstream said to this host is newer than what it said to a peer.
        const bool isHeard =
                report.incarnation == known.report.incarnation && known.heardAt > now - DirectTime;
        if (!isNewer || (isHeard && !report.leaving))
            continue;
        const bool isLeaving =
                report.incarnation == known.report.incarnation && known.report.leaving;
        known.report = report;
        known.report.leaving = report.leaving || isLeaving;
        known.statedAt = now;
        applyLimit(known, report.requestLimit, now);
        publish(known, source, now);
    }
}

void UpstreamRestrictions::publish(Upstream &upstream, const std::string &source, TimePoint now)
{
    reports_.put(upstream.report.upstream, upstream.report, now, PropagationTime);
    onChange(upstream.report, source);
}

std::vector<RestrictionReport> UpstreamRestrictions::select(TimePoint now, bool all)
{
    return reports_.select(now, all);
}

void UpstreamRestrictions::expire(TimePoint now)
{
    const auto isExpired = [now](const Upstream &upstream) {
        return upstream.unregisteredAt && now - *upstream.unregisteredAt >= UnregisteredTime;
    };
    std::erase_if(upstreams_, [&](const auto &entry) { return isExpired(entry.second); });
    reports_.eraseIf([this](const auto &report) { return !upstreams_.contains(report.upstream); });
}

} // namespace persimmon::state
