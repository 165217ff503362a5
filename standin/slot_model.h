#pragma once

#include "protocol/config_documents.h"

#include <cstdint>

namespace persimmon::standin {

/// What an upstream does with a new request.
enum class Admission { Run, Queue, Shed, Overload };

/// Slots, queue length and cold state of one upstream.
/// A cold upstream runs coldLimit requests at once; each full round of executions adds one, until
/// it has all its slots. More than limit + coldLimit requests at once overload it while cold: the
/// margin is the share of a second owner during a network partition.
class SlotModel
{
public:
    SlotModel(const protocol::GroupSettings &settings, std::uint32_t queueLimit);

    /// @return what happens to one more request.
    Admission admit() const;

    void enqueue() { ++queued_; }
    void dequeue() { --queued_; }
    void begin() { ++running_; }
    /// Ends one execution. @param completed whether it counts towards the warm-up.
    void finish(bool completed);

    /// Forgets all requests and makes the upstream cold.
    void restart();

    /// Makes the upstream cold and keeps its requests.
    void makeCold();

    bool hasFreeSlot() const { return running_ < limit_; }
    bool isCold() const { return limit_ < settings_.slots; }
    std::uint32_t running() const { return running_; }
    std::uint32_t queued() const { return queued_; }
    std::uint32_t limit() const { return limit_; }

private:
    protocol::GroupSettings settings_;
    std::uint32_t queueLimit_;
    std::uint32_t limit_;
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t round_ = 0;
};

} // namespace persimmon::standin
