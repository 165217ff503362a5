#include "tests/support/repeated_response.h"
#include "tests/system/platform_checks.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

using namespace persimmon::tests;
using std::chrono::milliseconds;

namespace {

constexpr int CallersPerHost = 2;
/// One of so many responses is disturbed.
constexpr int DisturbedInterval = 3;
constexpr std::size_t RecordBytes = 16;
constexpr int RecordsPerPart = 25;
constexpr std::size_t TopRecords = 2;

/// @return time for each kind of repetition; PERSIMMON_REPETITION_MS sets another one for long
/// runs.
milliseconds timePerRepetition()
{
    const auto *text = std::getenv("PERSIMMON_REPETITION_MS");
    return milliseconds(text == nullptr ? 400 : std::atoi(text));
}

std::string signatureOf(const std::string &service, const std::string &requestId)
{
    return "sig." + service + "." + requestId;
}

/// @return distinct records in rising order, of which the first letters are digits. Bytes of a head
///         are greater and so would be among the greatest records.
std::vector<std::string> recordsOf(const std::string &service, const std::string &requestId)
{
    std::vector<std::string> records;
    for (int i = 0; i < RecordsPerPart; ++i) {
        auto record = std::to_string(100 + i) + service + requestId;
        record.resize(RecordBytes, '.');
        records.push_back(record);
    }
    return records;
}

std::string bodyFor(const std::string &service, const std::string &requestId)
{
    std::string body;
    if (service == "pay") {
        for (int i = 0; i < 40; ++i)
            body += requestId;
        return body;
    }
    for (const auto &record : recordsOf(service, requestId))
        body += record;
    return body;
}

std::string wholeResponse(const std::string &service, const std::string &requestId)
{
    return makeResponse(bodyFor(service, requestId), "",
                        "X-Response-Stamp: " + signatureOf(service, requestId)
                                + "\r\nX-Request-Id: " + requestId + "\r\n");
}

bool isOwnAndWhole(const std::string &response, const std::string &requestId)
{
    return bodyOf(response) == bodyFor("pay", requestId)
           && fieldOf(response, "X-Response-Stamp") == signatureOf("pay", requestId);
}

bool isOwnAndWholeGather(const std::string &response, const std::string &requestId)
{
    const std::vector<std::string> shards{"shard-a", "shard-b"};
    std::vector<std::string> records;
    for (const auto &shard : shards) {
        const auto own = recordsOf(shard, requestId);
        records.insert(records.end(), own.begin(), own.end());
    }
    std::sort(records.rbegin(), records.rend());
    std::string expected;
    for (std::size_t i = 0; i < TopRecords; ++i)
        expected += records[i];
    return bodyOf(response) == expected
           && fieldOf(response, "X-Part-Stamps")
                      == signatureOf(shards[0], requestId) + ", "
                                 + signatureOf(shards[1], requestId);
}

/// Upstreams that repeat one of DisturbedInterval responses as the current Repetition says.
class RepeatingUpstreams
{
public:
    void setRepetition(std::optional<Repetition> repetition)
    {
        const std::lock_guard lock(mutex_);
        repetition_ = repetition;
    }

    RawResponse handle(const std::string &service, const std::string &request)
    {
        // A RawUpstream has one thread for each connection.
        thread_local std::string previous;
        const auto own = wholeResponse(service, fieldOf(request, "X-Request-Id"));
        const auto copy = std::exchange(previous, own);
        const std::lock_guard lock(mutex_);
        if (!repetition_ || copy.empty() || ++count_ % DisturbedInterval != 0)
            return {own};
        return repeatResponse(*repetition_, own, copy, "X-Request-Id");
    }

private:
    std::mutex mutex_;
    std::optional<Repetition> repetition_;
    int count_ = 0;
};

/// A kind of request of the callers.
struct RequestKind
{
    std::string name;
    std::string target;
    std::string method;
    bool (*isOwnAndWhole)(const std::string &response, const std::string &requestId);
};

struct ResponseCounts
{
    std::atomic<int> ownAndWhole = 0;
    std::atomic<int> foreignOrPartial = 0;
    std::atomic<int> noSuccess = 0;
};

PlatformClusterOptions optionsFor(RepeatingUpstreams &upstreams)
{
    PlatformClusterOptions options;
    options.serviceOf = {{"a1", "shard-a"}, {"a2", "shard-a"}, {"b1", "shard-b"}, {"b2", "shard-b"},
                         {"p1", "pay"},     {"p2", "pay"},     {"p3", "pay"},     {"p4", "pay"}};
    const auto services = options.serviceOf;
    options.requestHandler = [&upstreams, services](const std::string &id,
                                                    const std::string &request) {
        return upstreams.handle(services.at(id), request);
    };
    return options;
}

/// Sends requests of one kind to a host until @p running is false.
void callHost(const PlatformCluster &cluster, int host, const RequestKind &kind,
              const std::atomic<bool> &running, ResponseCounts &counts)
{
    static std::atomic<int> lastId = 1'000'000;
    while (running) {
        const auto id = std::to_string(++lastId);
        const auto response = cluster.callWithId(id, host, kind.target + id, kind.method);
        if (statusOf(response) != 200)
            ++counts.noSuccess;
        else if (kind.isOwnAndWhole(response, id))
            ++counts.ownAndWhole;
        else
            ++counts.foreignOrPartial;
    }
}

/// Sends requests of all kinds to all hosts for @p time.
void callAll(const PlatformCluster &cluster, const std::vector<RequestKind> &kinds,
             milliseconds time, std::vector<ResponseCounts> &counts)
{
    std::atomic<bool> running = true;
    std::vector<std::thread> callers;
    for (int host = 1; host <= cluster.hostCount(); ++host) {
        for (int i = 0; i < CallersPerHost; ++i) {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                callers.emplace_back([&, host, kind] {
                    callHost(cluster, host, kinds[kind], running, counts[kind]);
                });
            }
        }
    }
    std::this_thread::sleep_for(time);
    running = false;
    for (auto &caller : callers)
        caller.join();
}

} // namespace

// Guards against a caller that receives the bytes of another response, or a part of its own.
TEST_CASE("upstreams that repeat responses never mix what callers receive")
{
    const std::vector<RequestKind> kinds{
            {"idempotent", "/one/", "GET", isOwnAndWhole},
            {"non-idempotent", "/pay/", "POST", isOwnAndWhole},
            {"gather", "/g/", "GET", isOwnAndWholeGather},
    };
    RepeatingUpstreams upstreams;
    PlatformCluster cluster(optionsFor(upstreams));
    waitUntilAllListed(cluster);
    for (const auto &repetition : RepetitionNames) {
        upstreams.setRepetition(repetition.repetition);
        std::vector<ResponseCounts> counts(kinds.size());
        callAll(cluster, kinds, timePerRepetition(), counts);
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            CAPTURE(repetition.name);
            CAPTURE(kinds[kind].name);
            CHECK(counts[kind].ownAndWhole > 0);
            CHECK(counts[kind].foreignOrPartial == 0);
            std::cout << repetition.name << ", " << kinds[kind].name << ": "
                      << counts[kind].ownAndWhole << " own and whole, "
                      << counts[kind].foreignOrPartial << " not, " << counts[kind].noSuccess
                      << " without success\n";
        }
    }
}
