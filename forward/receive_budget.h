#pragma once

#include <cstddef>

namespace persimmon::forward {

/// Limits the memory that incomplete messages occupy in sum, so that upstreams that send bytes
/// without end cannot exhaust the memory of the process. Not thread-safe.
class ReceiveBudget
{
public:
    /// The bytes that one message occupies; returned to the budget on destruction.
    class Share
    {
    public:
        explicit Share(ReceiveBudget &budget) : budget_(budget) {}
        ~Share() { budget_.used_ -= bytes_; }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Grows the share to @p bytes.
        /// @return false, without a change, if the budget does not have the difference.
        bool growTo(std::size_t bytes)
        {
            if (bytes <= bytes_)
                return true;
            const auto added = bytes - bytes_;
            if (added > budget_.limit_ - budget_.used_)
                return false;
            bytes_ = bytes;
            budget_.used_ += added;
            return true;
        }

    private:
        ReceiveBudget &budget_;
        std::size_t bytes_ = 0;
    };

    /// @param limit combined size in bytes.
    explicit ReceiveBudget(std::size_t limit) : limit_(limit) {}

    std::size_t used() const { return used_; }

private:
    const std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace persimmon::forward
