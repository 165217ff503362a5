// A server sends a second copy of a rejection late, where the answer to the next request on the
// connection is expected, while that request is the next attempt of the rejected one.
#include "review/case_result.h"

#include "tests/support/raw_http.h"

#include <atomic>
#include <cstdlib>

using namespace persimmon::review;
using std::chrono::milliseconds;

namespace {

constexpr int HostCount = 3;
constexpr int ServerCount = 2;
constexpr int ClientCount = 18;
constexpr std::chrono::seconds PlayTime{55};
/// Length of a disruption, the time until the next one, and their number.
constexpr milliseconds DisruptionTime{5000};
constexpr milliseconds DisruptionPause{3000};
constexpr int DisruptionCount = 7;
/// Share of the answers that are sent a second time.
constexpr double CopyShare = 0.04;
constexpr unsigned Seed = 7;
constexpr milliseconds WorkTime{5};
/// Wait of a client after a refusal that names no time.
constexpr milliseconds RefusalPause{300};

/// Sends one request after the other, each with an id of its own, until @p end.
void runClient(Deployment &deployment, int client, std::chrono::steady_clock::time_point end)
{
    const int host = 1 + client % HostCount;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        const auto id = makeRequestId("c" + std::to_string(client) + "-", number);
        const auto answer = deployment.call(host, "POST", "/pay/fee", id, "fee of " + id);
        if (answer.status != 503)
            continue;
        const auto wait = persimmon::tests::fieldOf(answer.message, "Retry-After");
        const auto seconds = std::strtod(wait.c_str(), nullptr);
        std::this_thread::sleep_for(wait.empty() ? RefusalPause
                                                 : milliseconds(static_cast<int>(seconds * 1000)));
    }
}

/// Makes a server repeat some of its answers at the point where the next answer is expected.
void repeatAnswers(Server &server, const Recurrence &recurrence)
{
    const auto random = std::make_shared<std::mt19937>(Seed);
    const auto mutex = std::make_shared<std::mutex>();
    server.setLateBytes([random, mutex, &recurrence](const std::string & /*request*/,
                                                     const std::string &previous) {
        const std::lock_guard lock(*mutex);
        const bool repeats = std::uniform_real_distribution<double>(0, 1)(*random) < CopyShare;
        return repeats && recurrence.isActive() ? previous : std::string();
    });
}

CaseResult play(Record &record, bool trouble)
{
    Recurrence recurrence(DisruptionTime, DisruptionPause, DisruptionCount);
    Deployment deployment(HostCount, record);
    for (int number = 1; number <= ServerCount; ++number) {
        ServerOptions options;
        options.service = "entry-desk";
        options.id = "desk-" + std::to_string(number);
        options.failureDomain = Deployment::domainOf(number);
        options.workTime = WorkTime;
        auto &server = deployment.addServer(options);
        // Half of the servers are faulty.
        if (trouble && number == 1)
            repeatAnswers(server, recurrence);
    }
    deployment.publish(makeConfig(
            1,
            {R"({"name":"pay","host":"h.example","prefix":"/pay/","kind":"non_idempotent",)"
             R"("deadline_ms":2500,"goal_ms":400,"priority":1,"service":"entry-desk",)"
             R"("max_attempts":2,"home_regions":[]})"},
            {"entry-desk"}));
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
