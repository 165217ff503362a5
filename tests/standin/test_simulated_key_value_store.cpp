#include "standin/simulated_key_value_store.h"
#include "transport/http_connection.h"

#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <future>

using namespace persimmon;
using namespace persimmon::standin;
namespace json = boost::json;

namespace {

constexpr transport::Duration Timeout = std::chrono::seconds(5);

/// A store that listens on the loopback interface.
class StoreFixture
{
public:
    StoreFixture()
        : store(runtime_),
          endpoint_(valueOf(store.listen(valueOf(transport::parseEndpoint("127.0.0.1:0")))))
    {
        runtime_.start();
    }
    ~StoreFixture() { runtime_.stop(); }

    std::future<transport::HttpResponse> send(const std::string &target)
    {
        return std::async(std::launch::async, [this, target] {
            transport::HttpRequest request("GET", target);
            request.responseFields = {SimulatedKeyValueStore::EraField};
            return valueOf(boost::asio::co_spawn(
                                   runtime_.context(),
                                   transport::fetchOnce(runtime_, endpoint_, request, Timeout),
                                   boost::asio::use_future)
                                   .get());
        });
    }

    transport::HttpResponse get(const std::string &target) { return send(target).get(); }

    std::string eraOf(const std::string &target)
    {
        return std::string(get(target).field(SimulatedKeyValueStore::EraField));
    }

    transport::HttpResponse watch(std::uint64_t after, int waitMilliseconds)
    {
        return get(watchTarget(after, waitMilliseconds));
    }

    static std::string watchTarget(std::uint64_t after, int waitMilliseconds)
    {
        return "/kv-watch?prefix=&after=" + std::to_string(after)
               + "&wait_ms=" + std::to_string(waitMilliseconds);
    }

private:
    transport::Runtime runtime_{2};

public:
    SimulatedKeyValueStore store;

private:
    transport::Endpoint endpoint_;
};

json::object parse(const transport::HttpResponse &response)
{
    return json::parse(response.body).as_object();
}

} // namespace

// Guards against a client that takes a response without an era for one of the first era.
TEST_CASE("all responses of the store carry its era")
{
    StoreFixture fixture;
    fixture.store.put("a", "1");
    fixture.store.compact();
    const std::string unknown = "/unknown";
    const std::string range = "/kv-range?prefix=";
    CHECK(fixture.eraOf(unknown) == "1");
    CHECK(fixture.eraOf(range) == "1");
    CHECK(fixture.watch(0, 0).status == 410);
    CHECK(fixture.eraOf(StoreFixture::watchTarget(0, 0)) == "1");
    fixture.store.restore(1);
    CHECK(fixture.eraOf(unknown) == "2");
    CHECK(fixture.eraOf(StoreFixture::watchTarget(0, 0)) == "2");
    fixture.store.setDown(true);
    CHECK(fixture.get(range).status == 503);
    CHECK(fixture.eraOf(range) == "2");
}

// Guards against a simulated store that keeps acknowledged writes across a restore.
TEST_CASE("a restored store has the older items and assigns their revisions again")
{
    StoreFixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "1");
    fixture.store.put("a", "2");
    fixture.store.remove("b");
    fixture.store.compact();
    fixture.store.restore(2);
    const auto range = parse(fixture.get("/kv-range?prefix="));
    CHECK(range.at("as_of") == 2);
    REQUIRE(range.at("items").as_array().size() == 2);
    CHECK(range.at("items").at(0).at("revision") == 1);
    CHECK(range.at("items").at(1).at("revision") == 2);
    CHECK(fixture.watch(3, 0).status == 410);
    fixture.store.put("c", "1");
    const auto changes = parse(fixture.watch(2, 0));
    REQUIRE(changes.at("events").as_array().size() == 1);
    CHECK(changes.at("events").at(0).at("key") == "c");
    CHECK(changes.at("events").at(0).at("revision") == 3);
}

// Guards against a store that recovers in a second restore what the first one lost.
TEST_CASE("a store that is restored several times in a row raises its era each time")
{
    StoreFixture fixture;
    for (int value = 1; value <= 4; ++value)
        fixture.store.put("a", std::to_string(value));
    fixture.store.restore(3);
    fixture.store.restore(1);
    fixture.store.restore(4);
    CHECK(fixture.store.revision() == 1);
    CHECK(fixture.eraOf("/kv-range?prefix=") == "4");
}

// Guards against a watch that continues across a restore as if the history were the same.
TEST_CASE("a watch that is waiting ends when the store is restored")
{
    StoreFixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("a", "2");
    auto response = fixture.send(StoreFixture::watchTarget(2, 4000));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fixture.store.restore(2);
    REQUIRE(response.wait_for(std::chrono::seconds(1)) == std::future_status::ready);
    const auto ended = response.get();
    CHECK(ended.status == 503);
    CHECK(ended.field(SimulatedKeyValueStore::EraField) == "2");
}

// Guards against a copy that contains writes made after the time from which it is.
TEST_CASE("the store knows its revision of an earlier time")
{
    StoreFixture fixture;
    fixture.store.put("a", "1");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fixture.store.put("a", "2");
    CHECK(fixture.store.revisionBefore(std::chrono::milliseconds(150)) == 1);
    CHECK(fixture.store.revisionBefore(std::chrono::milliseconds(0)) == 2);
}
