// A server of one shard fails part of its requests with a status below 500 and a signature.
#include "review/case_result.h"

#include "tests/support/raw_http.h"

#include <set>
#include <sstream>

using namespace persimmon::review;
using std::chrono::milliseconds;

namespace {

constexpr int HostCount = 3;
constexpr int ShardCount = 4;
constexpr int ServersPerShard = 2;
constexpr int ClientCount = 6;
constexpr std::chrono::seconds PlayTime{9};
/// Length of the disruption.
constexpr milliseconds DisruptionTime{6500};
constexpr milliseconds WorkTime{4};
constexpr milliseconds ClientPause{20};
/// Share of the requests that the grey server fails.
constexpr double FailureShare = 0.4;
constexpr unsigned Seed = 11;
constexpr std::size_t RecordBytes = 16;

/// @return three records, different for each server and request.
std::string makeRecords(const std::string &server, const std::string &request)
{
    std::string records;
    for (int number = 0; number < 3; ++number) {
        auto record = std::to_string(number) + server
                      + persimmon::tests::fieldOf(request, "X-Request-Id");
        record.resize(RecordBytes, '.');
        records += record;
    }
    return records;
}

/// Makes a server fail part of its requests. It stays registered as ready.
void failPart(ServerOptions &options, const Recurrence &recurrence)
{
    const auto random = std::make_shared<std::mt19937>(Seed);
    const auto mutex = std::make_shared<std::mutex>();
    options.chooseStatus = [random, mutex, &recurrence](const std::string & /*request*/) {
        const std::lock_guard lock(*mutex);
        const bool fails = std::uniform_real_distribution<double>(0, 1)(*random) < FailureShare;
        return fails && recurrence.isActive() ? 404 : 200;
    };
}

/// @return stamps of the server answers to each request that are parts, that is, successes.
std::map<std::string, std::set<std::string>> goodStamps(const Record &record)
{
    std::map<std::string, std::set<std::string>> stamps;
    for (const auto &[id, answers] : record.detailsOf("server answered")) {
        for (const auto &answer : answers) {
            if (answer.starts_with("2"))
                stamps[id].insert(answer.substr(4));
        }
    }
    return stamps;
}

/// Sends one search after the other until @p end and records the stamps of each success.
void runClient(Deployment &deployment, Record &record, int client,
               std::chrono::steady_clock::time_point end)
{
    const int host = 1 + client % HostCount;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        const auto id = makeRequestId("c" + std::to_string(client) + "-", number);
        const auto answer =
                deployment.call(host, "GET", "/search/" + id, id, "", milliseconds(800));
        if (answer.status == 200)
            record.add("parts", id, persimmon::tests::fieldOf(answer.message, "X-Part-Stamps"));
        std::this_thread::sleep_for(ClientPause);
    }
}

/// @return the number of successes that name a stamp which is no good answer to the request.
std::size_t countWrongParts(Record &record)
{
    const auto good = goodStamps(record);
    std::size_t wrong = 0;
    for (const auto &[id, lists] : record.detailsOf("parts")) {
        std::istringstream list(lists.front());
        const auto known = good.find(id);
        for (std::string stamp; std::getline(list, stamp, ',');) {
            stamp.erase(0, stamp.find_first_not_of(' '));
            if (known != good.end() && known->second.contains(stamp))
                continue;
            ++wrong;
            record.note("MIXED: the success for " + id + " names '" + stamp
                        + "', which is no good answer to it");
            break;
        }
    }
    record.note("successes " + std::to_string(record.count("parts")) + ", with a wrong part "
                + std::to_string(wrong));
    return wrong;
}

CaseResult play(Record &record, bool trouble)
{
    Recurrence recurrence(DisruptionTime, milliseconds(0), 1);
    Deployment deployment(HostCount, record);
    std::vector<std::string> services;
    std::string shards;
    for (int shard = 1; shard <= ShardCount; ++shard) {
        services.push_back("trial-field-" + std::to_string(shard));
        shards += (shard == 1 ? "\"" : ",\"") + services.back() + "\"";
        for (int number = 1; number <= ServersPerShard; ++number) {
            ServerOptions options;
            options.service = services.back();
            options.id = "f" + std::to_string(shard) + "-" + std::to_string(number);
            options.failureDomain = Deployment::domainOf(number);
            options.workTime = WorkTime;
            options.makeBody = [id = options.id](const std::string &request) {
                return makeRecords(id, request);
            };
            if (trouble && shard == 1 && number == 1)
                failPart(options, recurrence);
            deployment.addServer(options);
        }
    }
    deployment.publish(makeConfig(
            1,
            {R"({"name":"search","host":"h.example","prefix":"/search/","kind":"idempotent",)"
             R"("deadline_ms":800,"goal_ms":120,"priority":1,"gather":[)"
             + shards + R"(],"max_attempts":2,"top_k":5,"min_fraction":0.75,"home_regions":[]})"},
            services));
    if (!deployment.start())
        return CaseResult::NotRun;
    recurrence.begin();
    const auto end = std::chrono::steady_clock::now() + PlayTime;
    std::vector<std::thread> clients;
    for (int client = 0; client < ClientCount; ++client)
        clients.emplace_back([&, client, end] { runClient(deployment, record, client, end); });
    for (auto &client : clients)
        client.join();
    const auto wrong = countWrongParts(record);
    if (record.count("parts") == 0)
        return CaseResult::NotRun;
    return wrong > 0 ? CaseResult::Broken : CaseResult::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
