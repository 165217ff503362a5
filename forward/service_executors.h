#pragma once

#include "dispatch/dispatch.h"
#include "forward/forwarding_client.h"
#include "state/state.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace persimmon::forward {

/// The executors of all services that this host forwards to, configured from the registry of
/// upstreams. Requires a single-threaded runtime.
class ServiceExecutors
{
public:
    ServiceExecutors(dispatch::ServiceExecutorContext &context,
                     const state::UpstreamRegistry &registry, state::SharedLimits limits)
        : context_(context),
          registry_(registry),
          limits_(limits)
    {
    }

    /// @param homeRegions regions whose upstreams may be used; empty for all.
    /// @return the executor of the service, created on the first call.
    dispatch::ServiceExecutor &executorOf(const std::string &service,
                                          const std::vector<std::string> &homeRegions);

    /// Applies the service settings of a new configuration.
    void setServices(std::map<std::string, state::ServiceInfo> services);

    /// Applies changes of the limits that all hosts share.
    void setLimits(const state::SharedLimits &limits);

    /// Sets the position of this host among the live hosts.
    void setShare(const state::HostShare &share);

    /// @return what the upstreams have stated.
    state::UpstreamRestrictions &restrictions() { return *restrictions_; }

    /// Applies changes of the registry to the executors of @p services.
    void reconfigure(const std::set<std::string> &services);

private:
    using Key = std::tuple<std::string, std::vector<std::string>>;

    void configure(const Key &key, dispatch::ServiceExecutor &executor);
    void reconfigureAll();

    dispatch::ServiceExecutorContext &context_;
    const state::UpstreamRegistry &registry_;
    state::SharedLimits limits_;
    const std::shared_ptr<state::TimingRegistry> timings_ =
            std::make_shared<state::TimingRegistry>();
    const std::shared_ptr<state::UpstreamRestrictions> restrictions_ =
            std::make_shared<state::UpstreamRestrictions>();
    std::map<std::string, state::ServiceInfo> services_;
    state::HostShare share_;
    std::map<Key, std::shared_ptr<dispatch::ServiceExecutor>> executors_;
};

} // namespace persimmon::forward
