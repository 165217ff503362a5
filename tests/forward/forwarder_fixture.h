#pragma once

#include "forward/forward.h"
#include "tests/support/header_names.h"
#include "tests/support/raw_http.h"

namespace persimmon::tests {

/// A host with one route to service "s", one to it that is not idempotent, and one that gathers
/// shards "p0" and "p1".
class ForwarderFixture
{
public:
    static constexpr std::chrono::milliseconds ReturnLatency{20};

    ForwarderFixture()
    {
        config.version = 1;
        state::Route single;
        single.name = "single";
        single.host = "h";
        single.prefix = "/s/";
        single.timeout = std::chrono::milliseconds(1500);
        single.goal = std::chrono::milliseconds(300);
        single.upstreamLimit = 2;
        single.targets = {{"s", 1}};
        auto once = single;
        once.name = "once";
        once.prefix = "/once/";
        once.idempotent = false;
        auto gather = single;
        gather.name = "gather";
        gather.prefix = "/g/";
        gather.targets.clear();
        gather.gather.shards = {"p0", "p1"};
        gather.gather.topRecords = 2;
        gather.gather.minFraction = 0.5;
        config.routes = {single, once, gather};
    }

    ~ForwarderFixture() { runtime.stop(); }

    void addUpstream(const std::string &service, const std::string &id, const RawUpstream &upstream)
    {
        state::UpstreamRecord record;
        record.id = id;
        record.service = service;
        record.address = upstream.address();
        record.failureDomain = "d";
        record.slots = 4;
        registry.update(record, {});
    }

    void start()
    {
        services.setServices(config.services);
        forwarder.setRoutes(std::make_shared<const state::RouteTable>(config));
        listen();
    }

    void listen()
    {
        const auto bound = server.listen(valueOf(transport::parseEndpoint("127.0.0.1:0")));
        port = valueOf(bound).port();
        runtime.start();
    }

    std::string call(const std::string &target, const std::string &method = "GET",
                     const std::string &body = "", const std::string &fields = "")
    {
        RawCaller caller(port);
        caller.send(request(target, method, body, fields));
        return caller.receive();
    }

    /// Calls on a new connection with a request id of its own.
    std::string callWithId(const std::string &id, const std::string &target,
                           const std::string &method = "GET")
    {
        RawCaller caller(port);
        caller.send(method + " " + target + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id
                    + "\r\nX-Left: 1000\r\nContent-Length: 0\r\n\r\n");
        return caller.receive();
    }

    static std::string request(const std::string &target, const std::string &method = "GET",
                               const std::string &body = "", const std::string &fields = "")
    {
        return method + " " + target + " HTTP/1.1\r\nHost: h\r\nX-Id: i1\r\nX-Left: 1000\r\n"
               + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    transport::Runtime runtime{1};
    transport::Metrics metrics;
    dispatch::DispatchMetrics dispatchMetrics{metrics};
    dispatch::ServiceExecutorContext context{runtime, dispatchMetrics, [](std::uint64_t) {}};
    state::UpstreamRegistry registry{{{"d", "r"}}};
    forward::ForwardingClient client{runtime, metrics, makeNames()};
    forward::ServiceExecutors services{context, registry, {50, 1, 0}};
    state::CrashEvidence crashes;
    forward::CrashGate crashGate{runtime, crashes, {}};
    forward::UpstreamPathMonitor path{runtime, metrics, client, {}};
    forward::PeerRelay relay{runtime, metrics, makeNames(),
                             [] { return std::vector<state::MemberState>(1); }};
    forward::RequestForwarder forwarder{
            runtime,   metrics, client, services,
            crashGate, path,    relay,  {makeNames(), 0.2, ReturnLatency}};
    forward::FrontendServer server{runtime, makeNames(), [this](auto request, auto monitor) {
                                       return forwarder.serve(std::move(request),
                                                              std::move(monitor));
                                   }};
    state::RoutingConfig config;
    int port = 0;
};

inline RawUpstream::Handler respondWith(const std::string &bytes, bool close = false)
{
    return [bytes, close](const std::string &) { return RawResponse{bytes, close}; };
}

} // namespace persimmon::tests
