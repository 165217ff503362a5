#pragma once

#include "forward/forwarding_client.h"
#include "state/relay_peers.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::forward {

/// How a request may be passed on.
struct RelayTerms
{
    /// Time by which the caller must have the response.
    transport::TimePoint deadline{};
    bool idempotent = true;
    /// Version of the configuration of this host. Hosts with an older one refuse the request.
    std::uint64_t configVersion = 0;
    /// Regions that may receive the request; empty for all.
    std::vector<std::string> regions;
};

/// A request that is being passed on.
struct RelayCall
{
    AttemptKey key;
    bool cancelled = false;
};

/// Result of passing on a request.
struct RelayResult
{
    /// Response of the host that took the request; std::nullopt if none did.
    std::optional<CallerResponse> response;
    /// Control address of the last host that was asked; empty if there was none.
    std::string peer;
    /// Whether a host that gave no response may have executed the request.
    bool mayHaveExecuted = false;
};

/// Passes requests on to other hosts while this host cannot reach the upstreams. A request that was
/// passed on is never passed on again. Requires a single-threaded runtime.
class PeerRelay
{
public:
    /// Hosts that one request is offered to.
    static constexpr int MaxPeers = 3;
    /// Time for which hosts that answer with a newer configuration are remembered. This host hears
    /// of the configuration within it, unless it was lost with a restore of the store.
    static constexpr std::chrono::seconds NewerConfigTime{5};

    /// @param members returns the live hosts, this one first.
    PeerRelay(transport::Runtime &runtime, transport::Metrics &metrics, const HeaderNames &names,
              std::function<std::vector<state::MemberState>()> members);

    /// @return whether a host can take requests for these regions; empty for all.
    bool hasPeer(const std::vector<std::string> &regions);

    /// @return the latest version of the configuration with which hosts have answered recently.
    std::uint64_t latestConfigVersion() const;

    /// Passes a request on to one host, and to others if it was certainly not executed there or may
    /// be executed again.
    boost::asio::awaitable<RelayResult> pass(std::shared_ptr<RelayCall> call,
                                             std::shared_ptr<const ForwardRequest> request,
                                             RelayTerms terms);

    /// Gives up a call, for example because its caller has left.
    void cancel(RelayCall &call);

private:
    /// @return the live hosts, at most MembersAge old: a copy for each request would be expensive
    ///         with many hosts.
    const std::vector<state::MemberState> &members();
    void recordConfigVersion(std::uint64_t version);
    /// Sends the request to one host.
    boost::asio::awaitable<state::AttemptResult>
    offer(std::shared_ptr<RelayCall> call, std::shared_ptr<const ForwardRequest> request,
          state::MemberState peer, RelayTerms terms, std::shared_ptr<UsedConnections> used);
    /// @return the response if the host has given one.
    std::optional<CallerResponse> takeResponse(const ForwardRequest &request,
                                               const std::string &peer,
                                               const state::AttemptResult &result);

    transport::Runtime &runtime_;
    transport::Metrics &metrics_;
    const std::function<std::vector<state::MemberState>()> readMembers_;
    std::vector<state::MemberState> members_;
    std::optional<transport::TimePoint> membersReadAt_;
    ForwardingClient client_;
    state::RelayPeers peers_;
    std::uint64_t callCount_ = 0;
    std::uint64_t latestConfigVersion_ = 0;
    transport::TimePoint configSeenAt_{};
};

/// What a host tells the passing host beside the response to a request that was passed on.
struct PeerRemarks
{
    /// Version of the configuration that the host applied; 0 for none.
    std::uint64_t configVersion = 0;
    /// Why it cannot serve the request although another host may; empty otherwise.
    std::string refusal;
};

/// Adds the remarks to a response, and the id of the request if it lacks one.
void addPeerRemarks(CallerResponse &response, const HeaderNames &names,
                    const std::string &requestId, const PeerRemarks &remarks);

/// @return the remarks, which are removed from the response.
PeerRemarks takePeerRemarks(CallerResponse &response);

} // namespace persimmon::forward
