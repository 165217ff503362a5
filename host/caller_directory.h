#pragma once

#include "host/host_options.h"

#include <string>
#include <vector>

namespace persimmon::host {

/// Selects the hosts that the directory names to callers. Requires a single-threaded runtime.
class CallerDirectory
{
public:
    static constexpr std::size_t MaxEntries = 64;

    CallerDirectory(const state::EntryMembership &membership,
                    const state::UpstreamRegistry &registry,
                    const forward::RequestForwarder &forwarder)
        : membership_(membership),
          registry_(registry),
          forwarder_(forwarder)
    {
    }

    /// @return the hosts to name in the response to a lookup.
    std::vector<state::MemberState> select(const LocateRequest &lookup) const;

private:
    /// @return the regions with upstreams of at least half of the shards that requests with a host
    ///         name need.
    std::vector<std::string> findServingRegions(const std::string &host) const;
    /// @return the regions that may handle all requests with a host name; empty for all. If its
    ///         routes have no home in common, only @p callerRegion.
    std::vector<std::string> findHomeRegions(const std::string &host,
                                             const std::string &callerRegion) const;

    const state::EntryMembership &membership_;
    const state::UpstreamRegistry &registry_;
    const forward::RequestForwarder &forwarder_;
};

} // namespace persimmon::host
