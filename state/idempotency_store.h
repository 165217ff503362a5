#pragma once

#include "protocol/caller_messages.h"
#include "state/epoch_clock.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmon::state {

/// How an entry must handle a non-repeatable request of its own incarnation. Refused: answer with
/// the refusal, which the store has recorded. Full: refuse the request; it is not recorded.
enum class Admission { Start, Join, Replay, Expired, Future, Full, Refused };

/// Result of IdempotencyStore::begin().
struct AdmissionResult
{
    Admission admission = Admission::Full;
    /// Recorded answer; only with Replay.
    protocol::QueryResponse answer;
};

/// Records of the request ids that this incarnation has started or refused, by epoch. Thread-safe.
class IdempotencyStore
{
public:
    /// Called with the outcome of the request that a duplicate has joined.
    using Waiter = std::function<void(const protocol::QueryResponse &)>;

    /// @param capacity maximum number of records; new ids are refused above it.
    explicit IdempotencyStore(std::size_t capacity = 100'000);

    /// Records the id before the request is sent, or finds its existing record.
    /// @param epoch epoch in the id.
    /// @param unique unique part of the id.
    /// @param current epoch by the home's clock.
    /// @param waiter kept only with Join, and then called once with the outcome.
    /// @param refusal answer to an id without a record. It is stored as the final outcome, so that
    ///        a delayed duplicate cannot run after its caller received "not run". The record of a
    ///        started id takes precedence.
    AdmissionResult begin(std::uint64_t epoch, std::string_view unique, std::uint64_t current,
                          Waiter waiter,
                          const std::optional<protocol::QueryResponse> &refusal = std::nullopt);

    /// Records the outcome of a started id and answers the joined duplicates. A later call can only
    /// change an unknown outcome to done.
    void finish(std::uint64_t epoch, std::string_view unique,
                const protocol::QueryResponse &answer);

    /// Removes the epochs that are no longer accepted and answers their waiters with epoch_expired.
    /// @param current epoch by the home's clock.
    void advance(std::uint64_t current);

    /// @return the number of records.
    std::size_t size() const { return size_; }

private:
    struct Record
    {
        bool finished = false;
        protocol::QueryResponse answer;
        std::vector<Waiter> waiters;
    };

    using EpochRecords = std::unordered_map<std::string, Record>;

    /// Records of a subset of the ids under a lock of their own.
    struct Stripe
    {
        std::mutex mutex;
        /// Epochs below this one are removed; their ids are never started again.
        std::uint64_t oldest = 0;
        std::map<std::uint64_t, EpochRecords> epochs;
    };

    static constexpr std::size_t StripeCount = 16;

    Stripe &stripeOf(std::string_view unique);
    AdmissionResult beginLocked(EpochRecords &records, std::string_view unique, Waiter waiter,
                                const std::optional<protocol::QueryResponse> &refusal);
    std::vector<Waiter> dropLocked(Stripe &stripe, std::uint64_t oldest);

    const std::size_t capacity_;
    std::atomic<std::size_t> size_ = 0;
    std::array<Stripe, StripeCount> stripes_;
};

} // namespace persimmon::state
