#include "state/idempotency_store.h"

#include <iterator>
#include <utility>

namespace persimmon::state {

using protocol::Outcome;
using protocol::QueryResponse;

IdempotencyStore::IdempotencyStore(std::size_t capacity) : capacity_(capacity) {}

IdempotencyStore::Stripe &IdempotencyStore::stripeOf(std::string_view unique)
{
    return stripes_[std::hash<std::string_view>{}(unique) % StripeCount];
}

AdmissionResult IdempotencyStore::begin(std::uint64_t epoch, std::string_view unique,
                                        std::uint64_t current, Waiter waiter,
                                        const std::optional<QueryResponse> &refusal)
{
    if (epoch > current)
        return {Admission::Future, {}};
    auto &stripe = stripeOf(unique);
    const std::lock_guard lock(stripe.mutex);
    // Another thread may have removed the epoch after the caller read the clock.
    if (epoch < stripe.oldest || epoch + PreviousEpochs < current)
        return {Admission::Expired, {}};
    return beginLocked(stripe.epochs[epoch], unique, std::move(waiter), refusal);
}

AdmissionResult IdempotencyStore::beginLocked(EpochRecords &records, std::string_view unique,
                                              Waiter waiter,
                                              const std::optional<QueryResponse> &refusal)
{
    const auto found = records.find(std::string(unique));
    if (found != records.end()) {
        if (found->second.finished)
            return {Admission::Replay, found->second.answer};
        found->second.waiters.push_back(std::move(waiter));
        return {Admission::Join, {}};
    }
    if (size_.fetch_add(1) >= capacity_) {
        size_.fetch_sub(1);
        return {Admission::Full, {}};
    }
    if (refusal) {
        records.emplace(unique, Record{true, *refusal, {}});
        return {Admission::Refused, {}};
    }
    records.emplace(unique, Record{});
    return {Admission::Start, {}};
}

void IdempotencyStore::finish(std::uint64_t epoch, std::string_view unique,
                              const QueryResponse &answer)
{
    std::vector<Waiter> waiters;
    {
        auto &stripe = stripeOf(unique);
        const std::lock_guard lock(stripe.mutex);
        const auto records = stripe.epochs.find(epoch);
        if (records == stripe.epochs.end())
            return;
        const auto found = records->second.find(std::string(unique));
        if (found == records->second.end())
            return;
        auto &record = found->second;
        const bool isLateCompletion = record.finished && record.answer.outcome == Outcome::Unknown
                                      && answer.outcome == Outcome::Done;
        if (record.finished && !isLateCompletion)
            return;
        record.finished = true;
        record.answer = answer;
        waiters.swap(record.waiters);
    }
    for (const auto &waiter : waiters)
        waiter(answer);
}

void IdempotencyStore::advance(std::uint64_t current)
{
    if (current <= PreviousEpochs)
        return;
    std::vector<Waiter> waiters;
    for (auto &stripe : stripes_) {
        const std::lock_guard lock(stripe.mutex);
        auto dropped = dropLocked(stripe, current - PreviousEpochs);
        std::move(dropped.begin(), dropped.end(), std::back_inserter(waiters));
    }
    QueryResponse expired;
    expired.outcome = Outcome::Unknown;
    expired.error = protocol::CallerError::EpochExpired;
    expired.message = "the epoch of the request id has expired";
    for (const auto &waiter : waiters)
        waiter(expired);
}

std::vector<IdempotencyStore::Waiter> IdempotencyStore::dropLocked(Stripe &stripe,
                                                                   std::uint64_t oldest)
{
    std::vector<Waiter> waiters;
    if (oldest <= stripe.oldest)
        return waiters;
    stripe.oldest = oldest;
    const auto end = stripe.epochs.lower_bound(oldest);
    for (auto it = stripe.epochs.begin(); it != end; ++it) {
        size_.fetch_sub(it->second.size());
        for (auto &[unique, record] : it->second)
            std::move(record.waiters.begin(), record.waiters.end(), std::back_inserter(waiters));
    }
    stripe.epochs.erase(stripe.epochs.begin(), end);
    return waiters;
}

} // namespace persimmon::state
