#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <set>

namespace persimmon::transport {

/// Limits the memory that incomplete messages occupy in sum, so that peers that send bytes without
/// end cannot exhaust the memory of the process. Thread-safe.
///
/// If a message does not fit, the largest one ends, so that small messages are received at any
/// time.
class ReceiveBudget
{
public:
    /// The bytes that one message occupies; returned to the budget on destruction.
    class Share
    {
    public:
        /// @param evict ends the message, because a smaller one needs its bytes. Called under the
        ///        lock of the budget, from any thread.
        Share(ReceiveBudget &budget, std::function<void()> evict);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Grows the share to @p bytes.
        /// @return false if the message must end: it was evicted, or it is the largest one and the
        ///         budget does not have the difference.
        bool growTo(std::size_t bytes);

        bool isEvicted() const;

    private:
        friend class ReceiveBudget;

        ReceiveBudget &budget_;
        const std::function<void()> evict_;
        std::size_t bytes_ = 0;
        bool evicted_ = false;
    };

    /// @param limit combined size in bytes.
    explicit ReceiveBudget(std::size_t limit) : limit_(limit) {}

    std::size_t used() const;

private:
    /// Evicts the largest share other than @p share.
    /// @return false if none is larger than @p bytes.
    bool evictLargerThan(std::size_t bytes, const Share &share);

    mutable std::mutex mutex_;
    const std::size_t limit_;
    std::size_t used_ = 0;
    std::set<Share *> shares_;
};

/// @return the budget of all responses that this process receives.
ReceiveBudget &processReceiveBudget();

} // namespace persimmon::transport
