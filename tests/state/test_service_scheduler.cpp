#include "state/service_scheduler.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using protocol::SubOutcome;

namespace {

constexpr int Schedules = 10'000;
constexpr int EventsPerSchedule = 60;
constexpr double ExtraLoad = 0.05;
constexpr std::chrono::milliseconds Step{1};

/// Reference model of one upstream, computed from the actions and events alone.
struct ModelUpstream
{
    protocol::HostRecord host;
    bool available = true;
    std::uint32_t inFlight = 0;
    std::uint32_t ramp = 0;
    std::uint32_t successes = 0;
    int incarnation = 1;
    std::map<std::uint64_t, TimePoint> missingUntil;

    /// Resets the model: the scheduler discards the state of an idle upstream that is unavailable.
    void reset(std::uint32_t coldLimit)
    {
        ramp = coldLimit;
        successes = 0;
        missingUntil.clear();
    }
};

struct ModelAttempt
{
    std::uint32_t number = 0;
    std::string upstream;
    TimePoint startedAt{};
    bool cancelled = false;
    /// Whether the attempt is a hedge or follows one that may have executed.
    bool extra = false;
    TimePoint deadline;
};

struct ModelSub
{
    SubRequestSpec work;
    int replies = 0;
    int starts = 0;
    bool mayHaveExecuted = false;
    std::vector<ModelAttempt> running;
};

/// Upstream crashes during executions of a fingerprint since its last answer.
struct ModelCrashes
{
    int count = 0;
    std::string upstream;
    TimePoint last{};
};

/// Runs one random schedule against ServiceScheduler and checks the invariants on each action.
class Schedule
{
public:
    explicit Schedule(std::uint32_t seed) : random_(seed)
    {
        share_ = 1 + pick(4);
        coldLimit_ = 1 + pick(share_);
        for (std::uint32_t i = 0; i < 1 + pick(3); ++i) {
            const auto name = "u" + std::to_string(i);
            protocol::HostRecord host{name, protocol::HostKind::Upstream, "127.0.0.1:1", "d", "s"};
            upstreams_[name] = {host, true, 0, coldLimit_, 0, 1, {}};
        }
        changeView();
    }

    void run()
    {
        for (int i = 0; i < EventsPerSchedule; ++i) {
            triggerRandomEvent();
            now_ += pick(4) * Step;
            apply(scheduler_.onTimer(now_));
        }
        settle();
        for (const auto &[id, sub] : subs_)
            CHECK_MESSAGE(sub.replies == 1, "a sub-request must get exactly one reply");
        // Guards against slots that leak after cancellations or late ends of attempts.
        for (const auto &[name, upstream] : upstreams_)
            CHECK(upstream.inFlight == 0);
    }

    std::map<std::string, int> counts;

private:
    std::uint32_t pick(std::uint32_t bound) { return random_() % bound; }

    void triggerRandomEvent()
    {
        const auto kind = pick(20);
        if (kind < 9)
            arrive();
        else if (kind < 17)
            endOneAttempt(true);
        else if (kind == 17)
            changeView();
        else if (kind == 18)
            apply(scheduler_.onQuarantine(pick(3), now_));
        else if (!subs_.empty())
            apply(scheduler_.onCancel(1 + pick(static_cast<std::uint32_t>(subs_.size())), now_));
    }

    void arrive()
    {
        SubRequestSpec work;
        work.id = subs_.size() + 1;
        work.snapshot = pick(2);
        work.priority = static_cast<protocol::Priority>(pick(4));
        work.repeatable = pick(4) != 0;
        work.extraLoad = ExtraLoad;
        work.deadline = now_ + pick(120) * Step;
        work.fingerprint = pick(3);
        work.canary = work.repeatable && pick(4) == 0;
        subs_[work.id].work = work;
        apply(scheduler_.onArrival(work, now_));
    }

    void changeView()
    {
        ServiceSettings settings;
        settings.share = share_;
        settings.slots = share_;
        settings.coldLimit = coldLimit_;
        for (auto &[name, upstream] : upstreams_) {
            upstream.available = pick(5) != 0;
            if (upstream.available)
                settings.available.push_back(upstream.host);
            else if (upstream.inFlight == 0)
                upstream.reset(coldLimit_);
        }
        apply(scheduler_.onSettingsChanged(settings, now_));
    }

    void endOneAttempt(bool random)
    {
        for (auto &[id, sub] : subs_) {
            if (sub.running.empty() || (random && pick(3) != 0))
                continue;
            const auto attempt = sub.running.front();
            sub.running.erase(sub.running.begin());
            end(sub, attempt);
            return;
        }
    }

    void end(ModelSub &sub, const ModelAttempt &attempt)
    {
        AttemptResult result;
        result.end = attempt.cancelled ? AttemptEnd::Cancelled : randomEnd(attempt);
        result.written = result.end != AttemptEnd::TimedOut || pick(4) != 0;
        auto &upstream = upstreams_.at(attempt.upstream);
        --upstream.inFlight;
        updateRampModel(upstream, result);
        updateCrashModel(sub, attempt, result);
        if (result.end == AttemptEnd::SnapshotMissing)
            upstream.missingUntil[sub.work.snapshot] = now_ + std::chrono::seconds(1);
        const bool maybe = result.end >= AttemptEnd::Lost || result.end == AttemptEnd::Answered;
        sub.mayHaveExecuted = sub.mayHaveExecuted || (maybe && result.written);
        // An attempt that was certainly not executed does not count as an extra execution.
        extra_ -= attempt.extra && !(maybe && result.written) ? 1 : 0;
        if (!upstream.available && upstream.inFlight == 0)
            upstream.reset(coldLimit_);
        apply(scheduler_.onAttemptEnded(sub.work.id, attempt.number, result, now_));
    }

    AttemptEnd randomEnd(const ModelAttempt &attempt)
    {
        if (now_ >= attempt.deadline)
            return AttemptEnd::TimedOut;
        if (pick(3) != 0)
            return AttemptEnd::Answered;
        return static_cast<AttemptEnd>(pick(10));
    }

    void updateRampModel(ModelUpstream &upstream, AttemptResult &result)
    {
        // An upstream that loses a connection may have restarted.
        if (result.end == AttemptEnd::Lost && pick(2) == 0)
            ++upstream.incarnation;
        if (result.end <= AttemptEnd::BadRequest)
            result.incarnation = std::to_string(upstream.incarnation);
        if (result.end == AttemptEnd::Lost || result.end == AttemptEnd::NotWritten)
            upstream.ramp = coldLimit_, upstream.successes = 0;
        if (result.end == AttemptEnd::Shed)
            upstream.ramp = std::max(1U, upstream.ramp / 2), upstream.successes = 0;
        if (result.end != AttemptEnd::Answered || upstream.ramp >= share_)
            return;
        if (++upstream.successes >= upstream.ramp)
            ++upstream.ramp, upstream.successes = 0;
    }

    void updateCrashModel(const ModelSub &sub, const ModelAttempt &attempt,
                          const AttemptResult &result)
    {
        auto &crashes = crashes_[sub.work.fingerprint];
        if (result.end == AttemptEnd::Answered)
            crashes = {};
        const bool same = attempt.upstream == crashes.upstream && attempt.startedAt < crashes.last;
        if (result.end == AttemptEnd::Lost && !same)
            crashes = {crashes.count + 1, attempt.upstream, now_};
    }

    void checkCrashes(const SubRequestSpec &work)
    {
        const auto count = crashes_[work.fingerprint].count;
        CHECK_MESSAGE(count < 2, "a fingerprint with two upstream crashes must not start again");
        if (count == 0)
            return;
        for (const auto &[id, other] : subs_) {
            CHECK_MESSAGE((other.running.empty() || crashes_[other.work.fingerprint].count == 0),
                          "suspects must not run concurrently, since a crash would count for both");
        }
    }

    void apply(const SchedulerActions &actions)
    {
        for (const auto &action : actions)
            std::visit([this](const auto &variant) { check(variant); }, action);
    }

    void check(const StartAttempt &action)
    {
        auto &sub = subs_.at(action.id);
        auto &upstream = upstreams_.at(action.upstream.name);
        CHECK_MESSAGE(upstream.available, "no new attempt on an unavailable upstream");
        CHECK_MESSAGE(now_ >= upstream.missingUntil[sub.work.snapshot],
                      "no attempt on an upstream known to lack the snapshot");
        CHECK_MESSAGE(sub.replies == 0, "no attempt after the reply");
        CHECK_MESSAGE(now_ < sub.work.deadline, "no attempt after the deadline");
        checkCrashes(sub.work);
        ++upstream.inFlight;
        CHECK_MESSAGE(upstream.inFlight <= share_, "in-flight attempts must stay within the share");
        CHECK_MESSAGE(upstream.inFlight <= upstream.ramp,
                      "in-flight attempts on a cold upstream must stay within its ramp");
        if (!sub.work.repeatable) {
            CHECK_MESSAGE((sub.running.empty() && !sub.mayHaveExecuted),
                          "a non-repeatable sub-request must not execute twice");
        }
        if (sub.work.canary)
            CHECK_MESSAGE(sub.running.empty(), "a canary must not be hedged");
        primaries_ += ++sub.starts == 1 ? 1 : 0;
        const bool extra = !sub.running.empty() || sub.mayHaveExecuted;
        extra_ += extra ? 1 : 0;
        CHECK_MESSAGE(extra_ <= ExtraLoadBudget::InitialTokens + ExtraLoad * primaries_ + 1e-6,
                      "hedges and retries must stay within the budget");
        ++counts[std::string(enumName(AttemptKindNames, action.kind))];
        sub.running.push_back(
                {action.attempt, action.upstream.name, now_, false, extra, action.deadline});
    }

    void check(const CancelAttempt &action)
    {
        for (auto &attempt : subs_.at(action.id).running)
            attempt.cancelled = attempt.cancelled || attempt.number == action.attempt;
    }

    void check(const ScheduleTimer &action) { timer_ = action.at; }

    void check(const SubReply &action)
    {
        auto &sub = subs_.at(action.id);
        ++sub.replies;
        CHECK_MESSAGE(sub.replies == 1, "a sub-request must get exactly one reply");
        CHECK(action.executions == static_cast<std::uint32_t>(sub.starts));
        if (action.outcome == SubOutcome::NotRun) {
            CHECK_MESSAGE((!sub.mayHaveExecuted && sub.running.empty()),
                          "not_run is only reported when no attempt executed");
        }
        // Guards against the outcome unknown for a request that cannot have executed, which would
        // prevent the caller from retrying.
        if (action.outcome == SubOutcome::Unknown)
            CHECK((sub.mayHaveExecuted || !sub.running.empty()));
        ++counts[std::string(enumName(protocol::SubOutcomeNames, action.outcome))];
    }

    void check(const QuarantineFingerprint & /*action*/) { ++counts["quarantine"]; }

    /// Ends all running attempts; triggers only the requested timers.
    void settle()
    {
        for (int i = 0; i < 10 * EventsPerSchedule; ++i) {
            endOneAttempt(false);
            now_ = std::max(now_, timer_);
            apply(scheduler_.onTimer(now_));
        }
    }

    std::mt19937 random_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    TimePoint timer_{};
    std::uint32_t share_ = 1;
    std::uint32_t coldLimit_ = 1;
    ServiceScheduler scheduler_;
    std::map<std::string, ModelUpstream> upstreams_;
    std::map<std::uint64_t, ModelSub> subs_;
    std::map<std::uint64_t, ModelCrashes> crashes_;
    double primaries_ = 0;
    double extra_ = 0;
};

} // namespace

TEST_CASE("random schedules satisfy the execution invariants")
{
    const char *seedText = std::getenv("PERSIMMON_TEST_SEED");
    const auto seed = seedText != nullptr
                              ? static_cast<std::uint32_t>(std::strtoul(seedText, nullptr, 10))
                              : std::random_device()();
    MESSAGE("PERSIMMON_TEST_SEED=" << seed);
    std::map<std::string, int> counts;
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(seed + i);
        Schedule schedule(seed + i);
        schedule.run();
        for (const auto &[name, count] : schedule.counts)
            counts[name] += count;
    }
    // Guards against schedules that never reach the situations under test.
    for (const auto *name :
         {"primary", "hedge", "retry", "done", "not_run", "unknown", "quarantine"}) {
        MESSAGE(std::string(name) << ": " << counts[name]);
        CHECK(counts[name] > 100);
    }
}
