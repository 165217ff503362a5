// A server that has run a request that is not idempotent fails it with 503 and does not state that
// it has not run.
#include "review/case_result.h"

using namespace persimmon::review;
using std::chrono::milliseconds;

namespace {

constexpr int HostCount = 3;
constexpr int ServerCount = 8;
constexpr int ClientCount = 40;
constexpr std::chrono::seconds PlayTime{9};
/// Length of a disruption, the time until the next one, and their number.
constexpr milliseconds DisruptionTime{6500};
constexpr milliseconds DisruptionPause{3000};
constexpr int DisruptionCount = 1;
constexpr milliseconds ClientPause{5};
/// Share of the requests that the grey server fails.
constexpr double FailureShare = 0.4;
constexpr unsigned Seed = 5;

/// Makes a server fail part of its requests after it has run them. It stays registered as ready.
void failPart(ServerOptions &options, const Recurrence &recurrence)
{
    const auto random = std::make_shared<std::mt19937>(Seed);
    const auto mutex = std::make_shared<std::mutex>();
    options.chooseStatus = [random, mutex, &recurrence](const std::string & /*request*/) {
        const std::lock_guard lock(*mutex);
        const bool fails = std::uniform_real_distribution<double>(0, 1)(*random) < FailureShare;
        return fails && recurrence.isActive() ? 503 : 200;
    };
}

void runClient(Deployment &deployment, int client, std::chrono::steady_clock::time_point end)
{
    const int host = 1 + client % HostCount;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        const auto id = makeRequestId("c" + std::to_string(client) + "-", number);
        deployment.call(host, "POST", "/pay/fee", id, "fee of " + id);
        std::this_thread::sleep_for(ClientPause);
    }
}

CaseResult play(Record &record, bool trouble)
{
    Recurrence recurrence(DisruptionTime, DisruptionPause, DisruptionCount);
    Deployment deployment(HostCount, record);
    for (int number = 1; number <= ServerCount; ++number) {
        ServerOptions options;
        options.service = "secretary";
        options.id = "office-" + std::to_string(number);
        options.failureDomain = Deployment::domainOf(1 + number % HostCount);
        if (trouble && number == 1)
            failPart(options, recurrence);
        deployment.addServer(options);
    }
    deployment.publish(makeConfig(
            1,
            {R"({"name":"pay","host":"h.example","prefix":"/pay/","kind":"non_idempotent",)"
             R"("deadline_ms":2500,"goal_ms":400,"priority":1,"service":"secretary",)"
             R"("max_attempts":2,"home_regions":[]})"},
            {"secretary"}));
    if (!deployment.start())
        return CaseResult::NotRun;
    recurrence.begin();
    const auto end = std::chrono::steady_clock::now() + PlayTime;
    std::vector<std::thread> clients;
    for (int client = 0; client < ClientCount; ++client)
        clients.emplace_back([&deployment, client, end] { runClient(deployment, client, end); });
    for (auto &client : clients)
        client.join();
    const auto report = checkOnce(record);
    if (report.runs == 0)
        return CaseResult::NotRun;
    const bool broken = !report.ranTwice.empty() || !report.refusedAndRun.empty();
    return broken ? CaseResult::Broken : CaseResult::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
