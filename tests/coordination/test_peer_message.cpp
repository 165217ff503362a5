#include "coordination/coordination.h"

#include <doctest/doctest.h>

#include <cctype>
#include <random>
#include <string_view>

using namespace persimmon;
using namespace persimmon::coordination;

namespace {

PeerMessage makeMessage()
{
    PeerMessage message;
    state::MemberState member;
    member.control = "127.0.0.1:1";
    member.front = "127.0.0.1:2";
    member.failureDomain = "d";
    member.region = "r";
    member.incarnation = 1'769'983'330'035ULL;
    member.heartbeat = 12;
    member.phase = state::EntryPhase::Leaving;
    member.storeUnreachable = true;
    member.capacity = 1250;
    member.relay = "127.0.0.1:3";
    member.upstreamsUnreachable = true;
    member.load = 17;
    message.members = {member, member};
    message.heartbeats = {{0xffffffffU, 7, 3}};
    message.digest = ~0ULL;
    message.position = {3, 42};
    message.isReconciled = true;
    message.storeAnswers = {
            3, std::chrono::milliseconds(3'600'000), std::chrono::milliseconds(20),
            std::chrono::milliseconds(3'600'000),
            FailingAges{std::chrono::milliseconds(20), std::chrono::milliseconds(0)}};
    message.wantsRecords = true;
    message.restrictions = {{"u1", ~0ULL, 7, 0.8, false}, {"u2", 1, ~0U, 0, true}};
    message.crashReports = {{~0ULL, 1, ~0ULL, false, true, std::chrono::seconds(3600)},
                            {2, ~0ULL, 3, true, false, std::chrono::seconds(1)}};
    message.delta = state::RecordDelta{
            {{"a", 41, "YQ==", 3, true}, {"b", 42, std::nullopt, 3, true}}, {3, 42}, true, true};
    return message;
}

} // namespace

TEST_CASE("a decoded peer message equals the encoded one")
{
    auto message = makeMessage();
    auto decoded = decodePeerMessage(encodePeerMessage(message));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded) == message);
    message.delta.reset();
    message.wantsRecords = false;
    message.members.clear();
    decoded = decodePeerMessage(encodePeerMessage(message));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded) == message);
}

// Guards against a host that relays a member state and drops what its own version does not know.
TEST_CASE("fields of a member that earlier versions lack and later ones add survive being relayed")
{
    PeerMessage message;
    message.members = {makeMessage().members.front()};
    message.members.front().laterFields = R"(["x",[7]])";
    auto decoded = decodePeerMessage(encodePeerMessage(message));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).members == message.members);
    message.members.front() = {};
    message.members.front().control = "127.0.0.1:1";
    message.members.front().front = "127.0.0.1:2";
    message.members.front().isPartial = true;
    decoded = decodePeerMessage(encodePeerMessage(message));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).members == message.members);
}

// Guards against a message that is lost, and against a wrong outage, for odd ages of the store's
// answers.
TEST_CASE("odd ages of the store's answers are left out of a peer message")
{
    const auto text = encodePeerMessage(makeMessage());
    const std::string written = R"("answers":[[3,3600000,20,3600000,20,0]])";
    REQUIRE(text.find(written) != std::string::npos);
    for (const std::string odd :
         {"[]", "[[]]", "[7]", "[[3,-1,-1]]", "[[3,5,6]]", "[[3,1e300,0]]", "[[3,3600001,0]]",
          "[[-3,5,0]]", R"([["3",5,0]])", "[[3,5,0,4]]", "[[3,5,0,-1]]", "[[3,5,0,null,1,2]]",
          "[[3,5,0,null,2,-1]]", R"([[3,5,0,"9"]])"}) {
        auto other = text;
        other.replace(text.find(written), written.size(), "\"answers\":" + odd);
        const auto decoded = decodePeerMessage(other);
        REQUIRE_MESSAGE(isOk(decoded), odd);
        CHECK_FALSE(valueOf(decoded).storeAnswers);
        CHECK(valueOf(decoded).members == makeMessage().members);
    }
}

// Guards against hosts of two versions that do not understand what the other one knows of the
// store.
TEST_CASE("ages of the store's answers with and without later columns are read")
{
    auto message = makeMessage();
    const std::chrono::milliseconds second(1000);
    for (const StoreAnswerAges ages :
         {StoreAnswerAges{3, second, second}, StoreAnswerAges{3, second, second, second * 9},
          StoreAnswerAges{3, second, second, std::nullopt, FailingAges{second, second}}}) {
        message.storeAnswers = ages;
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).storeAnswers == ages);
    }
    message.storeAnswers = StoreAnswerAges{3, second, second};
    CHECK(encodePeerMessage(message).find(R"("answers":[[3,1000,1000]])") != std::string::npos);
}

// Guards against a peer that takes the records of one era, or what is known of deletions, for those
// of another.
TEST_CASE("records of other eras and deleted writes keep their order in a peer message")
{
    auto message = makeMessage();
    message.isReconciled = false;
    message.delta->isReconciled = false;
    const state::DeletedWrite write{~0ULL, ~0ULL, state::ContentVersion{~0ULL, 7}};
    message.delta->records = {{"earlier", 50, "YQ==", 2, true},
                              {"unconfirmed", 40, "YQ==", 3, false},
                              {"earlier and unconfirmed", 39, "YQ==", 2, false},
                              {"deleted", 51, std::nullopt, 2, true},
                              {"with write", 52, std::nullopt, 2, true, write},
                              {"same era", 41, std::nullopt, 3, true, write},
                              {"no version", 53, std::nullopt, 2, true, {{5, 6, std::nullopt}}}};
    const auto decoded = decodePeerMessage(encodePeerMessage(message));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded) == message);
}

// Guards against a decoder that throws, or that accepts an undefined phase.
TEST_CASE("malformed peer messages are rejected without an exception")
{
    const auto text = encodePeerMessage(makeMessage());
    std::mt19937 random(1);
    for (int i = 0; i < 10'000; ++i) {
        auto corrupted = text;
        corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
        if (random() % 4 == 0)
            corrupted.resize(random() % corrupted.size());
        decodePeerMessage(corrupted);
    }
    CHECK_FALSE(isOk(decodePeerMessage("")));
    CHECK_FALSE(isOk(
            decodePeerMessage(R"({"rows":[["a"]],"beats":[],"digest":0,"era":1,"revision":1})")));
    CHECK_FALSE(isOk(decodePeerMessage(R"({"rows":[],"beats":[],"digest":0,"revision":1})")));
}

// Guards against messages that grow with the number of requests that lost upstreams: the target
// limits the control traffic of a host to 4 KB/s, in about seven messages.
TEST_CASE("crash reports of many requests leave messages small")
{
    constexpr std::size_t MaxBytesPerSecond = 4096;
    constexpr std::size_t MessagesPerSecond = 7;
    const state::TimePoint now{std::chrono::hours(1)};
    state::CrashEvidence evidence;
    std::vector<state::LostUpstream> lost;
    for (int shard = 0; shard < 40; ++shard)
        lost.push_back({"shard-" + std::to_string(shard), "u" + std::to_string(shard), 1, true});
    constexpr std::uint64_t Requests = 200;
    for (std::uint64_t request = 0; request < Requests; ++request)
        evidence.onLost(~request, lost, now);
    const auto emptySize = encodePeerMessage({}).size();
    for (int i = 0; i < 100; ++i) {
        PeerMessage message;
        message.crashReports = evidence.select(now, false);
        CHECK(!message.crashReports.empty());
        REQUIRE(encodePeerMessage(message).size() - emptySize
                <= MaxBytesPerSecond / MessagesPerSecond);
    }
}

// Guards against callers that are sent to an address that is none, and against a host that stops
// following its peers because of one row.
TEST_CASE("an odd row of a peer message leaves the others")
{
    for (const std::string address :
         {"127.0.0.1:65536", "127.0.0.1:4294967297", "127.0.0.1:-1", "127.0.0.1:", "somewhere"}) {
        CAPTURE(address);
        auto message = makeMessage();
        message.members.back().front = address;
        auto decoded = decodePeerMessage(encodePeerMessage(message));
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).members.size() == 1);
        CHECK(valueOf(decoded).delta == message.delta);
        // The first row is the sender's.
        message.members.front().control = address;
        CHECK_FALSE(isOk(decodePeerMessage(encodePeerMessage(message))));
    }
    for (const double limit : {1e300, -1.0, 1e18}) {
        auto message = makeMessage();
        message.restrictions.front().requestLimit = limit;
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).restrictions.size() == 1);
    }
}

// Guards against a message that ends the host which reads it.
TEST_CASE("an odd value in a peer message is an error or leaves out its row")
{
    const auto valid = encodePeerMessage(makeMessage());
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    CHECK_FALSE(isOk(decodePeerMessage(deep)));
    for (const auto &odd : {deep, std::string("1e400"), std::string("1e300"), std::string("-1"),
                            std::string("18446744073709551616"), std::string(R"("\ud800")")}) {
        CAPTURE(odd.substr(0, 40));
        // Replaces each number of the message in turn.
        for (std::size_t at = 0; at < valid.size(); ++at) {
            const bool startsNumber =
                    std::isdigit(static_cast<unsigned char>(valid[at])) != 0
                    && std::string_view(",:[").find(valid[at - 1]) != std::string_view::npos;
            if (!startsNumber)
                continue;
            const auto end = valid.find_first_not_of("0123456789.eE+-", at);
            const auto text = valid.substr(0, at) + odd + valid.substr(end);
            CHECK_NOTHROW(decodePeerMessage(text));
        }
    }
}
