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

/// What an entry must do with a non-repeatable request of its own incarnation. Refused answers with
/// the refusal, which the store has recorded; after Full nothing is recorded.
enum class Admission { Start, Join, Replay, Expired, Future, Full, Refused };

/// Decision on a request id.
struct AdmissionResult
{
    Admission admission = Admission::Full;
    /// Outcome to repeat; only with Replay.
    protocol::QueryAnswer answer;
};

/// Request ids that this incarnation has started or refused, by epoch. Thread-safe.
class IdempotencyStore
{
public:
    /// Gets the outcome of a request that a duplicate has joined.
    using Waiter = std::function<void(const protocol::QueryAnswer &)>;

    /// @param capacity records kept at most; new ids are refused above it.
    explicit IdempotencyStore(std::size_t capacity = 100'000);

    /// Records the id before it is sent, or finds what happened to it.
    /// @param epoch epoch in the id.
    /// @param unique unique part of the id.
    /// @param current epoch by the home's clock.
    /// @param waiter kept and called once, only with Join.
    /// @param refusal answer to an id without a record. It is stored as the finished outcome, so
    /// that
    ///        a delayed duplicate cannot run after its caller was told "not run". An id that has
    ///        started is still found.
    AdmissionResult begin(std::uint64_t epoch, std::string_view unique, std::uint64_t current,
                          Waiter waiter,
                          const std::optional<protocol::QueryAnswer> &refusal = std::nullopt);

    /// Stores the outcome of a started id and answers the joined duplicates. A later call changes
    /// only an unknown outcome, and only into done.
    void finish(std::uint64_t epoch, std::string_view unique, const protocol::QueryAnswer &answer);

    /// Drops the epochs that are no longer accepted and answers their waiters with epoch_expired.
    void advance(std::uint64_t current);

    /// @return number of records kept.
    std::size_t size() const { return size_; }

private:
    struct Record
    {
        bool finished = false;
        protocol::QueryAnswer answer;
        std::vector<Waiter> waiters;
    };

    using EpochRecords = std::unordered_map<std::string, Record>;

    struct Part
    {
        std::mutex mutex;
        /// Epochs below this one are dropped and never run again.
        std::uint64_t oldest = 0;
        std::map<std::uint64_t, EpochRecords> epochs;
    };

    static constexpr std::size_t PartCount = 16;

    Part &partOf(std::string_view unique);
    AdmissionResult beginLocked(EpochRecords &records, std::string_view unique, Waiter waiter,
                                const std::optional<protocol::QueryAnswer> &refusal);
    std::vector<Waiter> dropLocked(Part &part, std::uint64_t oldest);

    const std::size_t capacity_;
    std::atomic<std::size_t> size_ = 0;
    std::array<Part, PartCount> parts_;
};

} // namespace persimmon::state
