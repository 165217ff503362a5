#include "measure/cost.h"
#include "measure/fleet.h"
#include "measure/measurements.h"

#include <functional>

namespace persimmon::measure {

namespace {

constexpr int Repeats = 200;
/// Size of the result of one shard in the workload of the design page.
constexpr std::size_t ItemBytes = 200;

/// Encoded request and reply of one exchange between two stores.
struct EncodedExchange
{
    std::string request;
    std::string reply;

    double bytes() const { return static_cast<double>(request.size() + reply.size()); }
};

EncodedExchange encodeExchange(state::ViewStore &requester, state::ViewStore &responder)
{
    const auto request = requester.makeRequest(FixedNow);
    const auto reply = responder.makeReply(request, FixedNow);
    return {protocol::encodeViewRequest(request), protocol::encodeViewResponse(reply)};
}

using ApplyChanges = std::function<void(state::ViewStore &, std::size_t count)>;

/// Measures the size of an exchange for each number of changes.
/// @param applyChanges applies the given number of changes to the responding store.
Series measureExchangeSize(const std::string &name, const std::string &unit,
                           const std::vector<std::size_t> &counts, const ApplyChanges &applyChanges)
{
    Series series{name, unit, "bytes", {}};
    for (const auto count : counts) {
        auto requester = makeViewStore({100, 1000}, 10, 0);
        auto responder = makeViewStore({100, 1000}, 10, 0);
        applyChanges(responder, count);
        series.points.push_back(
                {static_cast<double>(count), encodeExchange(requester, responder).bytes()});
    }
    return series;
}

void changeKeys(state::ViewStore &store, std::size_t count)
{
    protocol::ConfigResponse reply{1 + count, {}};
    for (std::size_t i = 0; i < count; ++i)
        reply.entries.push_back(makeProfile(i, 2 + i));
    store.applyConfig(reply, FixedNow);
}

void changeIncarnations(state::ViewStore &store, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        store.addIncarnation({"entry-host-" + std::to_string(i), 0x0123456789abcdef, 6'000'000,
                              1'800'000'000'000},
                             FixedNow);
}

void changeHosts(state::ViewStore &store, std::size_t count)
{
    auto hosts = makeHosts({100, 1000});
    for (std::size_t i = 0; i < count; ++i)
        hosts[i].state = protocol::HostState::Leaving;
    store.applyHosts({2, std::move(hosts)}, FixedNow);
}

/// Measures the size of an exchange with a requester that holds no host list.
Series measureFullHostList()
{
    Series series{"exchange, full host list", "host", "bytes", {}};
    for (const std::size_t count : {1000, 10'000, 30'000, 100'000}) {
        state::ViewStore requester("entry-host-1");
        auto responder = makeViewStore({0, count}, 0, 0);
        series.points.push_back(
                {static_cast<double>(count), encodeExchange(requester, responder).bytes()});
    }
    return series;
}

protocol::Batch makeBatch(std::size_t count)
{
    protocol::Batch batch;
    batch.batchId = 123'456;
    batch.requestId = "entry-host-0.0123456789abcdef.10:q-1234567";
    batch.group = GroupName;
    batch.snapshot = 12;
    batch.configRevision = 47'000;
    batch.timeLeft = std::chrono::milliseconds(200);
    batch.fingerprint = 0x0123456789abcdef;
    batch.query = R"({"class":"novice","ring":3,"sort":"score"})";
    for (std::size_t i = 0; i < count; ++i)
        batch.subRequests.push_back({"shard-" + std::to_string(i), serviceName(i)});
    return batch;
}

protocol::SubResult makeResult(std::size_t number)
{
    protocol::SubResult result;
    result.batchId = 123'456;
    result.shard = "shard-" + std::to_string(number);
    result.snapshot = 12;
    result.outcome = protocol::SubOutcome::Done;
    result.items = R"([{"dog":"Tala","score":97,"notes":")" + std::string(ItemBytes, 'x') + "\"}]";
    result.executions = 1;
    result.upstream = "upstream-" + std::to_string(number);
    result.configRevision = 47'000;
    return result;
}

/// Size and CPU time of one codec for a batch and all its results.
struct CodecSeries
{
    explicit CodecSeries(const std::string &codec)
        : bytes{codec + ", batch and results", "sub-request", "bytes", {}},
          encode{codec + ", encode", "sub-request", "us", {}},
          decode{codec + ", decode", "sub-request", "us", {}}
    {
    }

    template <typename Encode, typename Decode>
    void add(std::size_t count, Encode encoder, Decode decoder)
    {
        std::vector<protocol::FrameMessage> messages{makeBatch(count)};
        for (std::size_t i = 0; i < count; ++i)
            messages.emplace_back(makeResult(i));
        std::vector<std::string> encoded;
        std::size_t total = 0;
        for (const auto &message : messages) {
            encoded.push_back(encoder(message));
            total += encoded.back().size();
        }
        const auto size = static_cast<double>(count);
        bytes.points.push_back({size, static_cast<double>(total)});
        encode.points.push_back({size, minCpuTime(Repeats, [&] {
                                     for (const auto &message : messages)
                                         encoder(message);
                                 })});
        decode.points.push_back({size, minCpuTime(Repeats, [&] {
                                     for (const auto &text : encoded)
                                         decoder(text);
                                 })});
    }

    Series bytes;
    Series encode;
    Series decode;
};

} // namespace

std::vector<Series> measureExchange()
{
    const std::vector<std::size_t> counts{0, 10, 20, 40, 80};
    Series time{"encode and decode of a reply", "key", "us", {}};
    for (const auto count : counts) {
        auto requester = makeViewStore({100, 1000}, 10, 0);
        auto responder = makeViewStore({100, 1000}, 10, 0);
        changeKeys(responder, count);
        const auto reply = responder.makeReply(requester.makeRequest(FixedNow), FixedNow);
        time.points.push_back({static_cast<double>(count), minCpuTime(Repeats, [&] {
                                   protocol::decodeViewResponse(
                                           protocol::encodeViewResponse(reply));
                               })});
    }
    return {measureExchangeSize("exchange, changed keys", "key", counts, changeKeys),
            measureExchangeSize("exchange, changed incarnations", "row", counts,
                                changeIncarnations),
            measureExchangeSize("exchange, changed hosts of 1,100", "host", counts, changeHosts),
            measureFullHostList(), time};
}

std::vector<Series> measureCodecs()
{
    CodecSeries messagePack("MessagePack");
    CodecSeries json("JSON");
    for (const std::size_t count : {10, 20, 40, 80, 160}) {
        messagePack.add(count, protocol::encodeFrame, protocol::decodeFrame);
        json.add(count, protocol::encodeFrameJson, protocol::decodeFrameJson);
    }
    return {messagePack.bytes, json.bytes,         messagePack.encode,
            json.encode,       messagePack.decode, json.decode};
}

} // namespace persimmon::measure
