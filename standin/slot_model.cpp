#include "standin/slot_model.h"

#include <algorithm>

namespace persimmon::standin {

SlotModel::SlotModel(const protocol::GroupSettings &settings, std::uint32_t queueLimit)
    : settings_(settings),
      queueLimit_(queueLimit),
      limit_(settings.slots)
{
}

AdmissionDecision SlotModel::admit() const
{
    if (isCold() && running_ + queued_ + 1 > limit_ + settings_.coldLimit)
        return AdmissionDecision::Overload;
    if (hasFreeSlot() && queued_ == 0)
        return AdmissionDecision::Run;
    return queued_ < queueLimit_ ? AdmissionDecision::Queue : AdmissionDecision::Shed;
}

void SlotModel::finish(bool completed)
{
    --running_;
    if (!completed || !isCold())
        return;
    if (++completedAtLimit_ < limit_)
        return;
    completedAtLimit_ = 0;
    ++limit_;
}

void SlotModel::restart()
{
    running_ = 0;
    queued_ = 0;
    makeCold();
}

void SlotModel::makeCold()
{
    completedAtLimit_ = 0;
    limit_ = std::min(settings_.coldLimit, settings_.slots);
}

} // namespace persimmon::standin
