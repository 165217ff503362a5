#pragma once

#include "tests/system/platform_cluster.h"

#include <doctest/doctest.h>

namespace persimmon::tests {

/// Requires that all hosts become ready and that the directory lists them.
inline void waitUntilAllListed(PlatformCluster &cluster)
{
    for (int host = 1; host <= cluster.hostCount(); ++host)
        REQUIRE_MESSAGE(cluster.waitUntilReady(host), cluster.lastLogLine(host));
    REQUIRE(cluster.waitUntil([&] {
        const auto addresses = cluster.locate(1);
        for (int host = 1; host <= cluster.hostCount(); ++host) {
            if (addresses.find(cluster.frontAddress(host)) == std::string::npos)
                return false;
        }
        return true;
    }));
}

} // namespace persimmon::tests
