#pragma once

#include "dispatch/dispatch.h"
#include "forward/forward_pool.h"
#include "state/state.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace persimmon::forward {

/// The schedulers of all services that this host forwards to, configured from the registry of
/// upstreams. For one-thread runtimes only.
class ServiceSet
{
public:
    ServiceSet(dispatch::ExecutorContext &context, const state::UpstreamRegistry &registry,
               state::SharedLimits limits)
        : context_(context),
          registry_(registry),
          limits_(limits)
    {
    }

    /// @param homeRegions regions whose upstreams may be used; empty for all.
    /// @return the executor of the service, made at the first call.
    dispatch::ServiceExecutor &executorOf(const std::string &service,
                                          const std::vector<std::string> &homeRegions);

    /// Takes the service settings of a new configuration.
    void setServices(std::map<std::string, state::ServiceInfo> services);

    /// Takes changed limits that all hosts share.
    void setLimits(const state::SharedLimits &limits);

    /// Takes the place of this host among the live ones.
    void setShare(const state::HostShare &share);

    /// Passes changes of the registry on to the schedulers of @p services.
    void refresh(const std::set<std::string> &services);

private:
    using Key = std::tuple<std::string, std::vector<std::string>>;

    void configure(const Key &key, dispatch::ServiceExecutor &executor);
    void refreshAll();

    dispatch::ExecutorContext &context_;
    const state::UpstreamRegistry &registry_;
    state::SharedLimits limits_;
    const std::shared_ptr<state::TimingBook> timings_ = std::make_shared<state::TimingBook>();
    std::map<std::string, state::ServiceInfo> services_;
    state::HostShare share_;
    std::map<Key, std::shared_ptr<dispatch::ServiceExecutor>> executors_;
};

} // namespace persimmon::forward
