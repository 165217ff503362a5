#include "protocol/protocol.h"
#include "tests/support/repeated_response.h"
#include "tests/system/cluster.h"
#include "tests/system/config_service_proxy.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <iostream>
#include <mutex>
#include <optional>
#include <utility>

using namespace persimmon;
using namespace persimmon::tests;

namespace json = boost::json;

namespace {

constexpr int QueriesPerRepetition = 24;
/// One of so many responses is disturbed.
constexpr int DisturbedInterval = 3;
/// Makes the body much longer than a head.
constexpr std::size_t PaddingBytes = 800;

/// Upstream that answers with the query itself, and repeats some responses.
class RepeatingUpstream
{
public:
    void setRepetition(Repetition repetition)
    {
        const std::lock_guard lock(mutex_);
        repetition_ = repetition;
    }

    RawResponse handle(const std::string &message)
    {
        // A RawUpstream has one thread for each connection.
        thread_local std::string previous;
        const auto request = protocol::decodeExecuteRequest(bodyOf(message));
        if (!isOk(request))
            return {makeResponse("{}", "")};
        const auto &query = valueOf(request);
        const protocol::ExecuteSuccess success{query.requestId, query.attempt,
                                               query.shard,     query.snapshot,
                                               "incarnation",   "[" + query.query + "]"};
        const auto own = makeResponse(protocol::encodeExecuteResponse(success), "");
        const auto copy = std::exchange(previous, own);
        const std::lock_guard lock(mutex_);
        if (!repetition_ || copy.empty() || ++count_ % DisturbedInterval != 0)
            return {own};
        ++repeatedCount_;
        return repeatResponse(*repetition_, own, copy, "X-Request-Id");
    }

    int repeatedCount()
    {
        const std::lock_guard lock(mutex_);
        return repeatedCount_;
    }

private:
    std::mutex mutex_;
    std::optional<Repetition> repetition_;
    int count_ = 0;
    int repeatedCount_ = 0;
};

/// Items of answers that state the text of a query.
struct ItemCounts
{
    int own = 0;
    int foreign = 0;

    void add(const json::value &answer, const std::string &text)
    {
        const auto *items = answer.as_object().if_contains("items");
        if (items == nullptr)
            return;
        for (const auto &item : items->as_array()) {
            const auto *stated = item.is_object() ? item.as_object().if_contains("text") : nullptr;
            if (stated != nullptr)
                ++(stated->as_string() == std::string_view(text) ? own : foreign);
        }
    }
};

} // namespace

// Guards against a query that is answered with the items of another one, or with a part of its own.
TEST_CASE("upstreams that repeat responses never mix the queries of the daemons")
{
    RepeatingUpstream repeating;
    const RawUpstream upstream(
            [&repeating](const std::string &message) { return repeating.handle(message); });
    ConfigServiceProxy service(upstream.address());
    ClusterOptions options;
    options.serviceAddressFor = [&service](const std::string &address) {
        service.setOrigin(address);
        return service.address();
    };
    Cluster cluster(options);
    int number = 0;
    ItemCounts items;
    for (const auto &repetition : RepetitionNames) {
        CAPTURE(repetition.name);
        repeating.setRepetition(repetition.repetition);
        int done = 0;
        for (int i = 0; i < QueriesPerRepetition; ++i) {
            const auto text = "query-" + std::to_string(++number) + std::string(PaddingBytes, 'x');
            const auto answer = cluster.query(1 + i % Cluster::HostCount,
                                              {{"profile", "live-scoresheet"},
                                               {"caller", "judge"},
                                               {"query", {{"op", "search"}, {"text", text}}}});
            REQUIRE(answer.is_object());
            items.add(answer, text);
            done += answer.at("outcome").as_string() == "done" ? 1 : 0;
        }
        std::cout << "own interface, " << repetition.name << ": " << done << " of "
                  << QueriesPerRepetition << " done\n";
        CHECK(done > 0);
        CHECK(items.foreign == 0);
    }
    CHECK(items.own > 0);
    CHECK(repeating.repeatedCount() > 0);
    std::cout << "own interface: " << repeating.repeatedCount() << " responses repeated, "
              << items.own << " own items, " << items.foreign << " foreign\n";
}
