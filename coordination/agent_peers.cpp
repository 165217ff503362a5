#include "coordination/agent_peers.h"

#include "state/ownership.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <iterator>
#include <random>

namespace persimmon::coordination {

bool isWatchingAgent(const state::ClusterView &view, const std::string &host)
{
    const auto found = view.entryHosts.find(host);
    if (found == view.entryHosts.end())
        return false;
    const auto &domain = found->second.failureDomain;
    std::size_t rank = 0;
    for (const auto &name : state::rankEntries(view, "watch/" + domain)) {
        if (view.entryHosts.at(name).failureDomain != domain)
            continue;
        if (name == host)
            return true;
        if (++rank == WatchingAgentsPerDomain)
            return false;
    }
    return false;
}

std::vector<transport::Endpoint> randomAgentPeers(const state::ClusterView &view,
                                                  const std::string &host, std::uint16_t port,
                                                  std::size_t count)
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::vector<const protocol::HostRecord *> others;
    for (const auto &[name, record] : view.entryHosts) {
        if (name != host)
            others.push_back(&record);
    }
    std::vector<const protocol::HostRecord *> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), count, random);
    std::vector<transport::Endpoint> peers;
    for (const auto *record : chosen) {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(record->address, error);
        if (!error)
            peers.emplace_back(address, port);
    }
    return peers;
}

} // namespace persimmon::coordination
