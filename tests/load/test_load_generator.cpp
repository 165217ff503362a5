#include "load/load.h"
#include "protocol/caller_codec.h"
#include "transport/http_server.h"

#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <map>

using namespace persimmon;

namespace {

const std::string Config =
        R"({"profile/pay":{"group":"g","scope":"key","min_coverage":1,"deadline_ms":500,)"
        R"("enough_after_ms":500,"priority":"critical","repeatable":false,"extra_load":0,)"
        R"("on_low_coverage":"refuse"}})";

/// Simulates an entry that answers every request and counts the requests.
struct FakeEntry
{
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request)
    {
        if (request.method == "GET") {
            ++locateRequests;
            const protocol::LocateResponse answer{"127.46.0.1:7100", std::chrono::seconds(10),
                                                  "h1.a.1"};
            co_return transport::HttpResponse{200, protocol::encodeLocateResponse(answer)};
        }
        const auto query = protocol::decodeQueryRequest(request.body);
        protocol::QueryResponse answer;
        answer.outcome = protocol::Outcome::Done;
        answer.requestId = isOk(query) ? valueOf(query).requestId.value_or("") : "";
        answer.items = "[]";
        answer.executions = 1;
        ++queriesById[answer.requestId];
        co_return transport::HttpResponse{200, protocol::encodeQueryResponse(answer)};
    }

    int locateRequests = 0;
    /// Number of queries by request id.
    std::map<std::string, int> queriesById;
};

} // namespace

// Guards against duplicates with a new request id, which would execute a payment twice, and against
// callers that locate their entry again while the cached location is valid.
TEST_CASE("a duplicate has the request id of the first request and locate answers are cached")
{
    transport::Runtime runtime(1);
    FakeEntry entry;
    transport::HttpServer server(runtime, [&](transport::HttpRequest request) {
        return entry.handle(std::move(request));
    });
    const auto endpoint = valueOf(transport::parseEndpoint("127.46.0.1:7100"));
    REQUIRE(isOk(server.listen(endpoint)));
    load::LoadSettings settings;
    settings.entries = {endpoint};
    settings.rate = 50;
    settings.duration = std::chrono::seconds(1);
    settings.callers = 1;
    settings.connections = 4;
    settings.duplicateRequests = true;
    load::LoadGenerator generator(runtime, settings,
                                  valueOf(load::ProfileMix::parse("pay", Config)));
    runtime.start();
    boost::asio::co_spawn(runtime.context(), generator.run(), boost::asio::use_future).get();
    runtime.stop();
    CHECK(entry.queriesById.size() > 20);
    CHECK(entry.locateRequests <= 4);
    for (const auto &[id, count] : entry.queriesById) {
        CHECK(id.rfind("h1.a.1:", 0) == 0);
        CHECK(count == 2);
    }
    const auto report = generator.report().toJson();
    CHECK(report.at("repetitions").at("same_items").to_number<std::size_t>()
          == entry.queriesById.size());
}
