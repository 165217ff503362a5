#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using protocol::Priority;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const std::string Name = "u";

UpstreamNotice limited(double limit)
{
    UpstreamNotice notice;
    notice.responded = true;
    notice.requestLimit = limit;
    return notice;
}

UpstreamNotice silent()
{
    UpstreamNotice notice;
    notice.responded = true;
    return notice;
}

bool mayStart(const UpstreamRestrictions &restrictions, TimePoint now,
              Priority priority = Priority::Critical)
{
    return restrictions.nextStart(Name, priority, now) <= now;
}

/// Starts requests as often as allowed.
/// @return the number of requests that were started within @p time.
int startAll(UpstreamRestrictions &restrictions, TimePoint begin, Duration time)
{
    int count = 0;
    for (auto now = begin; now < begin + time; now += milliseconds(1)) {
        if (!mayStart(restrictions, now))
            continue;
        restrictions.onStarted(Name, now);
        ++count;
    }
    return count;
}

/// Hosts that send requests to one upstream as often as their shares allow. Hosts start and stop,
/// and learn of it and of each other's reports with a delay.
class SharedLimitSchedule
{
public:
    explicit SharedLimitSchedule(std::uint32_t seed) : random_(seed)
    {
        limit_ = std::uniform_real_distribution<double>(0.3, 40)(random_);
        const auto hostCount = 1 + random_() % 70;
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts_.push_back(std::make_unique<UpstreamRestrictions>());
            demand_.push_back(std::uniform_real_distribution<double>(0, 1)(random_));
        }
        for (std::size_t i = 0; i < hostCount; ++i)
            hosts_[i]->setShare(shareOf(i, hostCount));
        hosts_[0]->onNotice(Name, limited(limit_), Start, Start);
    }

    /// @return whether every window after the first stayed within the limit.
    void run()
    {
        constexpr seconds Time{20};
        constexpr seconds ContactTime{4};
        for (auto now = Start; now < Start + Time; now += milliseconds(10)) {
            gossip(now);
            if (random_() % 300 == 0)
                changeHostCount();
            for (std::size_t i = 0; i < hosts_.size(); ++i)
                sendFrom(i, now);
            if (now >= Start + ContactTime)
                checkWindow(now);
        }
        CHECK(sentCount_ > 0);
    }

private:
    static HostShare shareOf(std::size_t position, std::size_t count)
    {
        HostShare share;
        share.hosts = static_cast<std::uint32_t>(count);
        share.position = static_cast<std::uint32_t>(position);
        return share;
    }

    void gossip(TimePoint now)
    {
        const auto from = random_() % hosts_.size();
        const auto to = random_() % hosts_.size();
        hosts_[to]->merge(hosts_[from]->select(now, false), "peer", now);
    }

    /// A fifth of the hosts do not know yet that one host more or less shares the limit.
    void changeHostCount()
    {
        const auto count = hosts_.size();
        for (std::size_t i = 0; i < count; ++i) {
            const bool isLate = random_() % 5 == 0;
            hosts_[i]->setShare(shareOf(i, isLate ? count : count + random_() % 2));
        }
    }

    void sendFrom(std::size_t host, TimePoint now)
    {
        auto &restrictions = *hosts_[host];
        if (std::uniform_real_distribution<double>(0, 1)(random_) > demand_[host])
            return;
        // Requests of hosts that have not heard of the limit do not count; they hear of it by this.
        const bool knows = restrictions.isLimited(Name);
        if (!mayStart(restrictions, now))
            return;
        restrictions.onStarted(Name, now);
        restrictions.onNotice(Name, limited(limit_), now, now);
        if (!knows)
            return;
        ++sentCount_;
        sent_.push_back(now);
    }

    void checkWindow(TimePoint now)
    {
        constexpr seconds Window{4};
        constexpr double Excess = 1.5;
        constexpr double Slack = 5;
        while (!sent_.empty() && sent_.front() < now - Window)
            sent_.pop_front();
        const auto allowed = Excess * limit_ * 4 + Slack;
        CHECK(static_cast<double>(sent_.size()) <= allowed);
    }

    std::mt19937 random_;
    double limit_ = 0;
    std::vector<std::unique_ptr<UpstreamRestrictions>> hosts_;
    /// Probability that a host has a request to send in each step.
    std::vector<double> demand_;
    std::deque<TimePoint> sent_;
    int sentCount_ = 0;
};

} // namespace

// Guards against shares that add up to more than the limit, and against a low limit that all hosts
// use at the same time.
TEST_CASE("requests of all hosts stay within the limit while hosts differ in what they know")
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        SharedLimitSchedule(seed).run();
    }
}

// Guards against a limit that is read once and then used when it rises, falls or ends.
TEST_CASE("a limit rises, falls and ends with the responses of its upstream")
{
    UpstreamRestrictions restrictions;
    restrictions.onNotice(Name, limited(10), Start, Start);
    CHECK(startAll(restrictions, Start, seconds(10)) <= 101);
    auto now = Start + seconds(10);
    restrictions.onNotice(Name, limited(2), now, now);
    CHECK(startAll(restrictions, now, seconds(10)) <= 22);
    now += seconds(10);
    restrictions.onNotice(Name, limited(100), now, now);
    CHECK(startAll(restrictions, now, seconds(1)) >= 90);
    now += seconds(1);
    // This response was sent before the limit was stated, so that it does not end it.
    restrictions.onNotice(Name, limited(1), now, now);
    restrictions.onNotice(Name, silent(), now - seconds(1), now + milliseconds(1));
    CHECK(restrictions.isLimited(Name));
    restrictions.onNotice(Name, silent(), now + milliseconds(2), now + milliseconds(3));
    CHECK_FALSE(restrictions.isLimited(Name));
    CHECK(startAll(restrictions, now + milliseconds(4), seconds(1)) == 1000);
}

// Guards against an upstream that a restart leaves limited, paused or leaving, and against the
// response of another upstream at its address.
TEST_CASE("restrictions belong to one incarnation, and end with an answer of that upstream only")
{
    UpstreamRestrictions restrictions;
    restrictions.onRegistered(Name, 1, Start);
    auto notice = limited(1);
    notice.leaving = true;
    notice.pause = milliseconds(10'000);
    restrictions.onNotice(Name, notice, Start, Start);
    restrictions.onNotice(Name, UpstreamNotice(), Start + seconds(1), Start + seconds(1));
    CHECK(restrictions.isLimited(Name));
    CHECK(restrictions.nextStart(Name, Priority::Critical, Start) == TimePoint::max());
    restrictions.onRegistered(Name, 1, Start + seconds(1));
    CHECK(restrictions.isLeaving(Name));
    restrictions.onRegistered(Name, 2, Start + seconds(1));
    CHECK_FALSE(restrictions.isLeaving(Name));
    CHECK(mayStart(restrictions, Start + seconds(1)));
    // Reports on the earlier incarnation are outdated.
    restrictions.merge({{Name, 1, 9, 1, true}}, "peer", Start + seconds(2));
    CHECK_FALSE(restrictions.isLeaving(Name));
}

// Guards against a request to an upstream that has asked for a pause, and against a shorter pause
// that ends a longer one.
TEST_CASE("a paused upstream gets no request until the end of the longest pause")
{
    UpstreamRestrictions restrictions;
    auto notice = silent();
    notice.pause = milliseconds(3000);
    restrictions.onNotice(Name, notice, Start, Start);
    notice.pause = milliseconds(100);
    restrictions.onNotice(Name, notice, Start, Start + milliseconds(50));
    restrictions.onNotice(Name, silent(), Start + milliseconds(60), Start + milliseconds(70));
    CHECK(restrictions.nextStart(Name, Priority::Critical, Start + seconds(1))
          == Start + milliseconds(3000));
    CHECK(mayStart(restrictions, Start + milliseconds(3000)));
}

// Guards against less urgent requests that use up the limit before urgent ones arrive, and against
// urgent ones that leave nothing.
TEST_CASE("urgent requests come first, and others are still sent")
{
    UpstreamRestrictions restrictions;
    restrictions.onNotice(Name, limited(20), Start, Start);
    int urgent = 0;
    int other = 0;
    std::mt19937 random(1);
    for (auto now = Start; now < Start + seconds(60); now += milliseconds(5)) {
        const auto priority = random() % 2 == 0 ? Priority::High : Priority::Bulk;
        if (!mayStart(restrictions, now, priority))
            continue;
        restrictions.onStarted(Name, now);
        ++(priority == Priority::High ? urgent : other);
    }
    CHECK(urgent > other);
    // Half of the requests are not urgent. They must be sent a quarter as often as all.
    CHECK(other * 2 * 4 >= urgent + other);
}

// Guards against a report that overrides what the upstream has said to this host since, and against
// a shutdown that is forgotten.
TEST_CASE("what the upstream says itself is newer than reports of peers")
{
    UpstreamRestrictions restrictions;
    restrictions.onNotice(Name, limited(10), Start, Start);
    restrictions.merge({{Name, 0, 9, 50, false}}, "peer", Start + seconds(1));
    CHECK(restrictions.ownRate(Name) == 10);
    restrictions.merge({{Name, 0, 9, 50, false}}, "peer",
                       Start + UpstreamRestrictions::DirectTime + seconds(1));
    CHECK(restrictions.ownRate(Name) == 50);
    restrictions.merge({{Name, 0, 10, 50, true}}, "peer", Start + seconds(4));
    CHECK(restrictions.isLeaving(Name));
    restrictions.merge({{Name, 0, 11, 50, false}}, "peer", Start + seconds(8));
    CHECK(restrictions.isLeaving(Name));
}

// Guards against tables that grow with each upstream that has ever stated something.
TEST_CASE("restrictions of upstreams that have left are removed after a time")
{
    UpstreamRestrictions restrictions;
    restrictions.onRegistered(Name, 1, Start);
    restrictions.onNotice(Name, limited(1), Start, Start);
    restrictions.onUnregistered(Name, Start);
    restrictions.expire(Start + seconds(10));
    CHECK(restrictions.isLimited(Name));
    restrictions.expire(Start + UpstreamRestrictions::UnregisteredTime);
    CHECK(restrictions.size() == 0);
    CHECK(restrictions.select(Start + UpstreamRestrictions::UnregisteredTime, true).empty());
}
