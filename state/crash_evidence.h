#pragma once

#include "state/decaying_latency_histogram.h"
#include "state/gossip_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmon::state {

/// An upstream whose connection ended while it executed a request.
struct LostUpstream
{
    std::string service;
    std::string name;
    /// Start of the upstream's process; 0 if unknown.
    std::uint64_t incarnation = 0;
    /// Whether the attempt was sent after earlier losses of the same request, so that it was not
    /// lost by the same cause as they were unless the request is the cause.
    bool repeated = false;
};

/// What is known of a request from earlier client attempts on all hosts.
struct KnownCrashes
{
    /// Crashed upstreams whose service has not answered since.
    std::size_t count = 0;
    /// Whether one of them was lost after others; see LostUpstream::repeated.
    bool repeated = false;
    /// Whether an upstream of the service in question is among them.
    bool inService = false;
};

/// A crash of one incarnation of an upstream during requests with one fingerprint, as hosts report
/// it to each other.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    /// Hash of the upstream's name and incarnation.
    std::uint64_t upstream = 0;
    /// Hash of the upstream's service.
    std::uint64_t service = 0;
    /// Whether the service has answered the request since, so that another request caused the
    /// crash.
    bool cleared = false;
    /// See LostUpstream::repeated.
    bool repeated = false;
    /// Time until the report expires.
    std::chrono::seconds timeLeft{0};

    bool operator==(const CrashReport &) const = default;
};

/// Collects, from all hosts, the upstreams that ended while they executed the same request, and
/// quarantines its fingerprint.
///
/// One crash closes the connections of all requests that its upstream is executing. A request that
/// did not cause it is answered by its retry, or the next time, which clears the reports of that
/// service. Several losses of one incarnation count once: an upstream that only closes connections
/// quarantines nothing. Losses at the same time may have another cause, such as the loss of a
/// failure domain, so that at least one must have followed others. Not thread-safe.
class CrashEvidence
{
public:
    /// Number of crashed upstreams, incarnations counted, that quarantine a fingerprint.
    static constexpr std::size_t CrashLimit = 3;
    /// Lifetime of the reports of a fingerprint below the limit, from its last crash.
    static constexpr std::chrono::minutes SuspicionTime{10};
    /// Lifetime of the reports of a quarantined fingerprint, from its last crash.
    static constexpr std::chrono::minutes QuarantineTime{60};
    /// Number of fingerprints that are kept.
    static constexpr std::size_t Capacity = 1024;
    /// Number of changed reports in each message. With a size of about 70 bytes each, a host spends
    /// most of its control traffic on them as long as upstreams end under many requests.
    static constexpr std::size_t ReportsPerMessage = 6;
    /// Reports that arrive within this time after a request was served do not count: the crash was
    /// before that or has another cause.
    static constexpr std::chrono::seconds ServedTime{5};

    /// Reports the upstreams that a request of this host has lost without an answer.
    /// @return whether the fingerprint was quarantined by this.
    bool onLost(std::uint64_t fingerprint, const std::vector<LostUpstream> &upstreams,
                TimePoint now);

    /// Clears the reports of a service that has answered the request.
    void onAnswered(std::uint64_t fingerprint, const std::string &service, TimePoint now);

    /// Records that a request of this host was served without a loss that no answer followed.
    void onServed(std::uint64_t fingerprint, TimePoint now) { servedAt_[fingerprint] = now; }

    /// Merges reports of other hosts.
    /// @return the fingerprints that were quarantined by this.
    std::vector<std::uint64_t> merge(const std::vector<CrashReport> &reports, TimePoint now);

    /// @return the number of crashed upstreams whose service has not answered since.
    std::size_t crashCount(std::uint64_t fingerprint) const;

    KnownCrashes knownCrashes(std::uint64_t fingerprint, const std::string &service) const;

    /// @return the time until the quarantine ends, or std::nullopt if there is none.
    std::optional<Duration> quarantineTimeLeft(std::uint64_t fingerprint, TimePoint now) const;

    /// Selects the reports for the next message.
    /// @param all whether the receiver is starting and needs all of them.
    std::vector<CrashReport> select(TimePoint now, bool all);

    /// Removes expired reports.
    void expire(TimePoint now);

    std::size_t fingerprintCount() const { return suspects_.size(); }

private:
    /// Fingerprint and upstream.
    using Key = std::pair<std::uint64_t, std::uint64_t>;
    struct Suspect
    {
        /// Upstreams of the reports that are not cleared.
        std::set<std::uint64_t> crashed;
        /// Subset of them that was lost after others.
        std::set<std::uint64_t> repeated;
        TimePoint expiresAt{};

        bool isQuarantined() const { return crashed.size() >= CrashLimit && !repeated.empty(); }
    };

    /// Adds a report, or adds what is new in it to a known one.
    /// @return whether the fingerprint was quarantined by this.
    bool put(const CrashReport &report, TimePoint now);
    void erase(std::uint64_t fingerprint);
    void makeRoom();

    GossipTable<Key, CrashReport> reports_{ReportsPerMessage};
    std::map<std::uint64_t, Suspect> suspects_;
    /// Fingerprints that this host has served within ServedTime.
    std::unordered_map<std::uint64_t, TimePoint> servedAt_;
};

} // namespace persimmon::state
