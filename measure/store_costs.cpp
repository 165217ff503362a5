#include "measure/cost.h"
#include "measure/fleet.h"
#include "measure/measurements.h"

#include <memory>

namespace persimmon::measure {

namespace {

constexpr std::uint64_t Epoch = 10;
constexpr std::size_t Capacity = 1'000'000;
/// Size of the stored answer to one payment request.
constexpr std::size_t ItemBytes = 200;

using Schedulers = std::vector<std::unique_ptr<state::ServiceScheduler>>;

Schedulers makeSchedulers(std::size_t services)
{
    const auto hosts = makeHosts({0, services * UpstreamsPerService});
    Schedulers schedulers;
    for (std::size_t i = 0; i < services; ++i) {
        state::ServiceSettings settings;
        const auto first = hosts.begin() + static_cast<std::ptrdiff_t>(i * UpstreamsPerService);
        settings.available.assign(first, first + UpstreamsPerService);
        schedulers.push_back(std::make_unique<state::ServiceScheduler>());
        schedulers.back()->onSettingsChanged(settings, FixedNow);
    }
    return schedulers;
}

std::string requestKey(std::size_t number)
{
    return "fee-0123456789abcdef-" + std::to_string(number);
}

} // namespace

std::vector<Series> measureStores()
{
    Series idBytes{"idempotency store", "id", "bytes", {}};
    Series idTime{"begin and finish, all ids", "id", "us", {}};
    protocol::QueryResponse answer;
    answer.outcome = protocol::Outcome::Done;
    answer.requestId = "entry-host-0.0123456789abcdef.10:" + requestKey(0);
    answer.items = std::string(ItemBytes, 'x');
    for (const std::size_t count : {12'500, 25'000, 50'000, 100'000}) {
        const auto size = static_cast<double>(count);
        const auto store = std::make_unique<state::IdempotencyStore>(Capacity);
        const auto before = allocatedHeapBytes();
        idTime.points.push_back({size, meanCpuTime(1, [&] {
                                     for (std::size_t i = 0; i < count; ++i) {
                                         store->begin(Epoch, requestKey(i), Epoch, {});
                                         store->finish(Epoch, requestKey(i), answer);
                                     }
                                 })});
        idBytes.points.push_back({size, static_cast<double>(allocatedHeapBytes() - before)});
    }
    Series schedulerBytes{"service scheduler, two upstreams each", "service", "bytes", {}};
    Series schedulerTime{"settings change, all schedulers", "service", "us", {}};
    for (const std::size_t services : {100, 200, 400, 800, 1600}) {
        const auto size = static_cast<double>(services);
        schedulerBytes.points.push_back(
                {size, retainedHeapBytes([&] { return makeSchedulers(services); })});
        const auto schedulers = makeSchedulers(services);
        schedulerTime.points.push_back({size, meanCpuTime(10, [&] {
                                            for (const auto &scheduler : schedulers)
                                                scheduler->onSettingsChanged({}, FixedNow);
                                        })});
    }
    return {idBytes, idTime, schedulerBytes, schedulerTime};
}

} // namespace persimmon::measure
