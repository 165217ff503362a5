#include "forward/service_executors.h"

namespace persimmon::forward {

dispatch::ServiceExecutor &ServiceExecutors::executorOf(const std::string &service,
                                                        const std::vector<std::string> &homeRegions)
{
    const Key key(service, homeRegions);
    auto &executor = executors_[key];
    if (!executor) {
        executor = std::make_shared<dispatch::ServiceExecutor>(context_, timings_, restrictions_);
        configure(key, *executor);
    }
    return *executor;
}

void ServiceExecutors::setServices(std::map<std::string, state::ServiceInfo> services)
{
    if (services == services_)
        return;
    services_ = std::move(services);
    reconfigureAll();
}

void ServiceExecutors::setShare(const state::HostShare &share)
{
    if (share == share_)
        return;
    share_ = share;
    restrictions_->setShare(share);
    reconfigureAll();
}

void ServiceExecutors::setLimits(const state::SharedLimits &limits)
{
    limits_ = limits;
    reconfigureAll();
}

void ServiceExecutors::reconfigure(const std::set<std::string> &services)
{
    for (const auto &[key, executor] : executors_) {
        if (services.contains(std::get<0>(key)))
            configure(key, *executor);
    }
}

void ServiceExecutors::reconfigureAll()
{
    for (const auto &[key, executor] : executors_)
        configure(key, *executor);
}

void ServiceExecutors::configure(const Key &key, dispatch::ServiceExecutor &executor)
{
    const auto &[service, homeRegions] = key;
    const auto info = services_.find(service);
    executor.configure(registry_.settingsOf(
            service, info == services_.end() ? state::ServiceInfo{} : info->second, homeRegions,
            share_, limits_));
}

} // namespace persimmon::forward
