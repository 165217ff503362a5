#include "state/cluster_view.h"

#include <algorithm>
#include <iterator>

namespace persimmon::state {

bool ClusterView::isAvailable(const protocol::HostRecord &host) const
{
    return host.state == protocol::HostState::Live && !outHosts.contains(host.name)
           && !outDomains.contains(host.failureDomain) && !leavingHosts.contains(host.name);
}

std::vector<protocol::HostRecord> ClusterView::availableUpstreams(std::string_view service) const
{
    std::vector<protocol::HostRecord> available;
    const auto found = upstreams.find(service);
    if (found == upstreams.end())
        return available;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(available),
                 [this](const auto &host) { return isAvailable(host); });
    return available;
}

} // namespace persimmon::state
