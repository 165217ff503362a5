#pragma once

#include "protocol/config_documents.h"

#include <cstdint>

namespace persimmon::standin {

/// Admission decision for a new request.
enum class AdmissionDecision { Run, Queue, Shed, Overload };

/// Models the execution slots, queue and warm-up of one upstream.
/// A cold upstream starts with a concurrency limit of coldLimit. Each time a number of executions
/// equal to the limit has completed, the limit increases by one, up to the number of slots. While
/// the upstream is cold, more than limit + coldLimit running and queued requests overload it:
/// during a network partition a second owner may send another coldLimit requests.
class SlotModel
{
public:
    SlotModel(const protocol::GroupSettings &settings, std::uint32_t queueLimit);

    /// @return the decision for one more request.
    AdmissionDecision admit() const;

    void enqueue() { ++queued_; }
    void dequeue() { --queued_; }
    void start() { ++running_; }
    /// Ends one execution.
    /// @param completed whether the execution counts towards the warm-up.
    void finish(bool completed);

    /// Drops all requests and makes the upstream cold.
    void restart();

    /// Makes the upstream cold; its requests are kept.
    void makeCold();

    bool hasFreeSlot() const { return running_ < limit_; }
    bool isCold() const { return limit_ < settings_.slots; }
    std::uint32_t running() const { return running_; }
    std::uint32_t queued() const { return queued_; }
    /// @return current concurrency limit.
    std::uint32_t limit() const { return limit_; }

private:
    protocol::GroupSettings settings_;
    std::uint32_t queueLimit_;
    std::uint32_t limit_;
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    /// Executions completed since the limit last changed.
    std::uint32_t completedAtLimit_ = 0;
};

} // namespace persimmon::standin
