#include "tests/system/background_load.h"

#include <boost/json.hpp>

#include <chrono>

namespace json = boost::json;

namespace persimmon::tests {

namespace {

/// Pause of a caller between two queries.
constexpr std::chrono::milliseconds ThinkTime{20};

std::string formatOutcome(const json::value &answer)
{
    if (!answer.is_object() || !answer.as_object().contains("outcome"))
        return "connection broken";
    std::string text(answer.at("outcome").as_string());
    if (const auto *error = answer.as_object().if_contains("error"))
        text += " " + std::string(error->as_string());
    return text;
}

} // namespace

BackgroundLoad::BackgroundLoad(Cluster &cluster, json::object body, int callers)
    : cluster_(cluster),
      body_(std::move(body))
{
    for (int i = 0; i < callers; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

BackgroundLoad::~BackgroundLoad()
{
    stop();
}

void BackgroundLoad::stop()
{
    stopped_ = true;
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

void BackgroundLoad::run(int number)
{
    const auto name = "load-" + std::to_string(number);
    auto body = body_;
    body["caller"] = name;
    std::string address;
    auto validUntil = std::chrono::steady_clock::now();
    int host = number % Cluster::HostCount + 1;
    while (!stopped_) {
        if (std::chrono::steady_clock::now() >= validUntil) {
            const auto requestedAt = std::chrono::steady_clock::now();
            const auto answer = cluster_.locate(host, name);
            // Try the next entry if this one is unreachable or returns no address.
            if (!answer.is_object() || !answer.as_object().contains("address")) {
                host = host % Cluster::HostCount + 1;
                continue;
            }
            address = answer.at("address").as_string();
            validUntil =
                    requestedAt + std::chrono::milliseconds(answer.at("valid_ms").to_number<int>());
        }
        recordOutcome(cluster_.httpClient().json(address, "POST", "/v1/query", body));
        std::this_thread::sleep_for(ThinkTime);
    }
}

void BackgroundLoad::recordOutcome(const json::value &answer)
{
    const std::lock_guard lock(mutex_);
    ++outcomes_[formatOutcome(answer)];
}

std::map<std::string, int> BackgroundLoad::outcomes()
{
    const std::lock_guard lock(mutex_);
    return outcomes_;
}

int BackgroundLoad::successes()
{
    const auto all = outcomes();
    const auto done = all.find("done");
    return done == all.end() ? 0 : done->second;
}

int BackgroundLoad::failures()
{
    int count = 0;
    for (const auto &[name, number] : outcomes()) {
        if (name != "done")
            count += number;
    }
    return count;
}

} // namespace persimmon::tests
