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

/// An entry that answers everything and counts what it is asked.
struct FakeEntry
{
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request)
    {
        if (request.method == "GET") {
            ++locates;
            const protocol::LocateAnswer answer{"127.46.0.1:7100", std::chrono::seconds(10),
                                                "h1.a.1"};
            co_return transport::HttpResponse{200, protocol::encodeLocateAnswer(answer)};
        }
        const auto query = protocol::decodeQueryRequest(request.body);
        protocol::QueryAnswer answer;
        answer.outcome = protocol::Outcome::Done;
        answer.requestId = isOk(query) ? valueOf(query).requestId.value_or("") : "";
        answer.items = "[]";
        answer.executions = 1;
        ++requests[answer.requestId];
        co_return transport::HttpResponse{200, protocol::encodeQueryAnswer(answer)};
    }

    int locates = 0;
    std::map<std::string, int> requests;
};

} // namespace

// Guards against repetitions with another id, which would be second payments, and against callers
// that ask for an address again while their answer is valid.
TEST_CASE("a repetition carries the first id and locate answers are kept")
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
    settings.pressTwice = true;
    load::LoadGenerator generator(runtime, settings,
                                  valueOf(load::ProfileMix::parse("pay", Config)));
    runtime.start();
    boost::asio::co_spawn(runtime.context(), generator.run(), boost::asio::use_future).get();
    runtime.stop();
    CHECK(entry.requests.size() > 20);
    CHECK(entry.locates <= 4);
    for (const auto &[id, count] : entry.requests) {
        CHECK(id.rfind("h1.a.1:", 0) == 0);
        CHECK(count == 2);
    }
    const auto report = generator.report().toJson();
    CHECK(report.at("repetitions").at("same_items").to_number<std::size_t>()
          == entry.requests.size());
}
