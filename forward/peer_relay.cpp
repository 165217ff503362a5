#include "forward/peer_relay.h"

#include "forward/peer_fields.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace asio = boost::asio;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";
constexpr std::chrono::milliseconds MembersAge{200};

/// Every complete response of a host is an answer; a host checks those of upstreams itself.
state::AttemptResult classifyPeerResponse(UpstreamResponse response)
{
    auto answer = std::make_shared<protocol::ForwardedResponse>();
    answer->status = static_cast<int>(response.result_int());
    answer->headers = endToEndFields(response);
    answer->body = std::move(response.body());
    state::AttemptResult result;
    result.end = state::AttemptEnd::Answered;
    result.answer = answer;
    return result;
}

ServerProtocol makePeerProtocol(const HeaderNames &names)
{
    ServerProtocol protocol;
    protocol.serialize = [names](const ForwardRequest &request, const std::string & /*peer*/,
                                 std::chrono::milliseconds /*timeLeft*/) {
        return request.serializeForPeer(names, request.passedOn.value_or(PassedOn()));
    };
    protocol.classify = [](UpstreamResponse response, const std::string & /*requestId*/) {
        return classifyPeerResponse(std::move(response));
    };
    // The other host must learn soon that the caller has left.
    protocol.cancelDelay = std::chrono::milliseconds(0);
    protocol.metricPrefix = "persimmon_peer";
    return protocol;
}

bool hasName(const protocol::HeaderField &field, std::string_view name)
{
    return boost::beast::iequals(field.name, {name.data(), name.size()});
}

} // namespace

PeerRelay::PeerRelay(transport::Runtime &runtime, transport::Metrics &metrics,
                     const HeaderNames &names,
                     std::function<std::vector<state::MemberState>()> members)
    : runtime_(runtime),
      metrics_(metrics),
      readMembers_(std::move(members)),
      client_(runtime, metrics, names, makePeerProtocol(names)),
      peers_(std::random_device{}())
{
}

bool PeerRelay::hasPeer(const std::vector<std::string> &regions)
{
    return state::RelayPeers::hasPeer(members(), regions);
}

const std::vector<state::MemberState> &PeerRelay::members()
{
    const auto now = runtime_.clock().now();
    if (!membersReadAt_ || now - *membersReadAt_ >= MembersAge) {
        members_ = readMembers_();
        membersReadAt_ = now;
    }
    return members_;
}

asio::awaitable<RelayResult> PeerRelay::pass(std::shared_ptr<RelayCall> call,
                                             std::shared_ptr<const ForwardRequest> request,
                                             RelayTerms terms)
{
    RelayResult relayed;
    std::set<std::string> asked;
    const auto used = std::make_shared<UsedConnections>();
    while (asked.size() < MaxPeers && !call->cancelled && runtime_.clock().now() < terms.deadline) {
        const auto peer = peers_.choose(members(), terms.regions, asked);
        if (!peer)
            break;
        asked.insert(peer->control);
        relayed.peer = peer->control;
        const auto result = co_await offer(call, request, *peer, terms, used);
        if (auto response = takeResponse(*request, peer->control, result)) {
            const auto remarks = takePeerRemarks(*response);
            recordConfigVersion(remarks.configVersion);
            relayed.response = std::move(response);
            if (remarks.refusal.empty())
                break;
            continue;
        }
        const bool mayHaveExecuted = state::mayHaveExecuted(result);
        relayed.mayHaveExecuted = relayed.mayHaveExecuted || mayHaveExecuted;
        if (mayHaveExecuted && !terms.idempotent)
            break;
    }
    co_return relayed;
}

std::uint64_t PeerRelay::latestConfigVersion() const
{
    const bool isRecent = runtime_.clock().now() - configSeenAt_ < NewerConfigTime;
    return isRecent ? latestConfigVersion_ : 0;
}

void PeerRelay::recordConfigVersion(std::uint64_t version)
{
    if (version < latestConfigVersion())
        return;
    latestConfigVersion_ = version;
    configSeenAt_ = runtime_.clock().now();
}

asio::awaitable<state::AttemptResult>
PeerRelay::offer(std::shared_ptr<RelayCall> call, std::shared_ptr<const ForwardRequest> request,
                 state::MemberState peer, RelayTerms terms, std::shared_ptr<UsedConnections> used)
{
    const auto age = std::chrono::floor<std::chrono::milliseconds>(runtime_.clock().now()
                                                                   - request->receivedAt);
    const auto passed = std::make_shared<ForwardRequest>(*request);
    passed->passedOn = {age, std::max(terms.configVersion, latestConfigVersion())};
    protocol::HostRecord target;
    target.name = peer.control;
    target.address = peer.relay;
    call->key = {++callCount_, 1};
    peers_.onStarted(peer.control);
    auto result = co_await client_.execute(call->key, target, passed, terms.deadline,
                                           terms.idempotent, std::move(used));
    peers_.onEnded(peer.control);
    co_return result;
}

std::optional<CallerResponse> PeerRelay::takeResponse(const ForwardRequest &request,
                                                      const std::string &peer,
                                                      const state::AttemptResult &result)
{
    const std::string end(enumName(state::AttemptEndNames, result.end));
    metrics_.counter("persimmon_passed_on_total", "Requests passed on to other hosts.",
                     "end=\"" + end + "\"")
            .add();
    transport::logInfo(Part, "request passed on",
                       {{"request", request.id},
                        {"host", peer},
                        {"end", end},
                        {"status", std::to_string(result.answer ? result.answer->status : 0)}});
    if (!result.answer)
        return std::nullopt;
    return CallerResponse{result.answer->status, result.answer->headers, result.answer->body};
}

void PeerRelay::cancel(RelayCall &call)
{
    call.cancelled = true;
    client_.cancel(call.key);
}

void addPeerRemarks(CallerResponse &response, const HeaderNames &names,
                    const std::string &requestId, const PeerRemarks &remarks)
{
    const bool hasId =
            std::any_of(response.headers.begin(), response.headers.end(),
                        [&](const auto &field) { return hasName(field, names.requestId); });
    if (!hasId)
        response.headers.push_back({names.requestId, requestId});
    response.headers.push_back(
            {std::string(PeerConfigField), std::to_string(remarks.configVersion)});
    if (!remarks.refusal.empty())
        response.headers.push_back({std::string(PeerRefusalField), remarks.refusal});
}

PeerRemarks takePeerRemarks(CallerResponse &response)
{
    PeerRemarks remarks;
    for (const auto &field : response.headers) {
        const auto *begin = field.value.data();
        if (hasName(field, PeerConfigField))
            std::from_chars(begin, begin + field.value.size(), remarks.configVersion);
        else if (hasName(field, PeerRefusalField))
            remarks.refusal = field.value;
    }
    std::erase_if(response.headers, [](const auto &field) {
        return hasName(field, PeerConfigField) || hasName(field, PeerRefusalField);
    });
    return remarks;
}

} // namespace persimmon::forward
