#include "transport/receive_budget.h"

#include <malloc.h>

#include <algorithm>

namespace persimmon::transport {

namespace {

/// Size of the largest message, so that it can be received as long as it is the only one.
constexpr std::size_t MaxReceivedBytes = 32U * 1024U * 1024U;
/// Memory blocks of this size are returned to the kernel when they are freed. Otherwise the C
/// library keeps each size that a growing body has had, for each thread.
constexpr int ReturnedBlockBytes = 1024 * 1024;

std::size_t initializeLimit()
{
    ::mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes);
    return MaxReceivedBytes;
}

} // namespace

ReceiveBudget::Share::Share(ReceiveBudget &budget, std::function<void()> evict)
    : budget_(budget),
      evict_(std::move(evict))
{
    const std::lock_guard lock(budget_.mutex_);
    budget_.shares_.insert(this);
}

ReceiveBudget::Share::~Share()
{
    const std::lock_guard lock(budget_.mutex_);
    budget_.shares_.erase(this);
    budget_.used_ -= bytes_;
}

bool ReceiveBudget::Share::growTo(std::size_t bytes)
{
    const std::lock_guard lock(budget_.mutex_);
    if (evicted_)
        return false;
    if (bytes <= bytes_)
        return true;
    const auto added = bytes - bytes_;
    while (added > budget_.limit_ - budget_.used_) {
        if (!budget_.evictLargerThan(bytes, *this))
            return false;
    }
    bytes_ = bytes;
    budget_.used_ += added;
    return true;
}

bool ReceiveBudget::Share::isEvicted() const
{
    const std::lock_guard lock(budget_.mutex_);
    return evicted_;
}

std::size_t ReceiveBudget::used() const
{
    const std::lock_guard lock(mutex_);
    return used_;
}

bool ReceiveBudget::evictLargerThan(std::size_t bytes, const Share &share)
{
    const auto largest = std::max_element(
            shares_.begin(), shares_.end(),
            [](const auto *left, const auto *right) { return left->bytes_ < right->bytes_; });
    if (largest == shares_.end() || *largest == &share || (*largest)->bytes_ <= bytes)
        return false;
    auto &evicted = **largest;
    used_ -= evicted.bytes_;
    evicted.bytes_ = 0;
    evicted.evicted_ = true;
    evicted.evict_();
    return true;
}

ReceiveBudget &processReceiveBudget()
{
    static ReceiveBudget budget(initializeLimit());
    return budget;
}

} // namespace persimmon::transport
