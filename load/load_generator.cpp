#include "load/load_generator.h"

#include "protocol/caller_codec.h"

namespace asio = boost::asio;

namespace persimmon::load {

namespace {

/// Entries asked for one query: the located one, and two more after a refusal or a lost entry.
constexpr int MaxTries = 3;
/// An answer that is later than deadline and this grace is given up.
constexpr std::chrono::milliseconds AnswerGrace{1000};
constexpr std::chrono::milliseconds RepeatDelay{20};
constexpr std::chrono::milliseconds FinishPollInterval{5};
/// Number of different query texts, so that most are known to the canary rule after a while.
constexpr std::uint64_t QueryVariants = 100;

bool isRedirect(const protocol::QueryAnswer &answer)
{
    return answer.outcome == protocol::Outcome::NotRun && answer.home.has_value();
}

LoadResult<protocol::QueryAnswer>
readAnswer(const transport::TransportResult<transport::HttpResponse> &response)
{
    if (!isOk(response))
        return LoadError{LoadErrorCode::SendFailed, errorOf(response).message};
    const auto answer = protocol::decodeQueryAnswer(valueOf(response).body);
    if (!isOk(answer))
        return LoadError{LoadErrorCode::SendFailed, errorOf(answer).message};
    return valueOf(answer);
}

} // namespace

LoadGenerator::LoadGenerator(transport::Runtime &runtime, LoadSettings settings, ProfileMix mix)
    : runtime_(runtime),
      settings_(std::move(settings)),
      mix_(std::move(mix)),
      pool_(runtime, settings_.connections),
      locator_(runtime, pool_, settings_.entries),
      random_(settings_.seed),
      runName_(std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
{
}

asio::awaitable<void> LoadGenerator::run()
{
    const auto start = runtime_.clock().now();
    std::exponential_distribution<double> gap(settings_.rate);
    double seconds = gap(random_);
    for (std::uint64_t number = 0; seconds < static_cast<double>(settings_.duration.count());
         ++number) {
        const auto intended = start
                              + std::chrono::duration_cast<transport::Duration>(
                                      std::chrono::duration<double>(seconds));
        const auto now = runtime_.clock().now();
        if (intended > now)
            co_await runtime_.clock().sleep(intended - now);
        ++running_;
        runtime_.spawn(runQuery(makeQuery(number, intended)));
        seconds += gap(random_);
    }
    while (running_ > 0)
        co_await runtime_.clock().sleep(FinishPollInterval);
}

LoadGenerator::QueryPointer LoadGenerator::makeQuery(std::uint64_t number,
                                                     transport::TimePoint intended)
{
    auto query = std::make_shared<Query>();
    query->profile = &mix_.draw(random_);
    query->number = number;
    query->intended = intended;
    const auto caller = random_() % static_cast<std::uint64_t>(settings_.callers);
    query->caller = "caller-" + std::to_string(caller);
    const auto &profile = query->profile->profile;
    if (profile.scope == protocol::Scope::Key)
        query->key = "key-" + std::to_string(random_() % 100'000);
    if (!profile.repeatable)
        query->text = R"({"amount":25,"op":"pay"})";
    else if (profile.scope == protocol::Scope::Key)
        query->text = R"({"op":"lookup"})";
    else
        query->text =
                R"({"op":"search","text":")" + std::to_string(random_() % QueryVariants) + R"("})";
    return query;
}

asio::awaitable<void> LoadGenerator::runQuery(QueryPointer query)
{
    const bool repeats = settings_.pressTwice && !query->profile->profile.repeatable;
    if (repeats) {
        // The repetition carries the id of the first request, so that one must exist before it.
        const auto location = co_await locate(query);
        if (isOk(location)) {
            query->repeated = true;
            ++query->unfinished;
            runtime_.spawn(repeatQuery(query));
        }
    }
    const auto answer = co_await ask(query);
    if (isOk(answer)) {
        query->answer = valueOf(answer);
        report_.addAnswer(query->profile->name, *query->answer,
                          runtime_.clock().now() - query->intended);
    } else {
        report_.addFailure(query->profile->name,
                           std::string(enumName(LoadErrorNames, errorOf(answer).code)));
    }
    finish(query);
}

asio::awaitable<void> LoadGenerator::repeatQuery(QueryPointer query)
{
    co_await runtime_.clock().sleep(RepeatDelay);
    const auto answer = co_await ask(query);
    if (isOk(answer))
        query->repetition = valueOf(answer);
    finish(query);
}

void LoadGenerator::finish(const QueryPointer &query)
{
    if (--query->unfinished > 0)
        return;
    if (query->repeated) {
        report_.addRepetition(query->answer ? &*query->answer : nullptr,
                              query->repetition ? &*query->repetition : nullptr);
    }
    --running_;
}

asio::awaitable<LoadResult<protocol::QueryAnswer>> LoadGenerator::ask(QueryPointer query)
{
    LoadError error{LoadErrorCode::NoEntry, "not sent"};
    for (int tries = 1; tries <= MaxTries; ++tries) {
        const auto location = co_await locate(query);
        if (!isOk(location)) {
            error = errorOf(location);
            continue;
        }
        auto answer = co_await post(query, valueOf(location));
        if (isOk(answer) && (tries == MaxTries || !isRedirect(valueOf(answer))))
            co_return answer;
        locator_.forget(query->caller);
        if (!isOk(answer)) {
            error = errorOf(answer);
            continue;
        }
        report_.addRedirect();
        locator_.replace(query->caller, *valueOf(answer).home);
        // "Not run" is certain, so a new id of the new home cannot run the request twice. With a
        // repetition under way only the first id is safe.
        if (!settings_.pressTwice)
            query->requestId.clear();
    }
    co_return error;
}

asio::awaitable<LoadResult<Location>> LoadGenerator::locate(QueryPointer query)
{
    auto location = co_await locator_.locate(query->caller, query->profile->name);
    if (isOk(location) && !query->profile->profile.repeatable && query->requestId.empty()) {
        query->requestId =
                valueOf(location).home + ":" + runName_ + "-" + std::to_string(query->number);
    }
    co_return location;
}

asio::awaitable<LoadResult<protocol::QueryAnswer>> LoadGenerator::post(QueryPointer query,
                                                                       Location location)
{
    const auto timeout = query->profile->profile.deadline + AnswerGrace;
    auto request = makeRequest(*query);
    const auto response = co_await pool_.send(location.endpoint, std::move(request), timeout);
    co_return readAnswer(response);
}

transport::HttpRequest LoadGenerator::makeRequest(const Query &query)
{
    protocol::QueryRequest request;
    request.profile = query.profile->name;
    request.caller = query.caller;
    request.query = query.text;
    if (!query.key.empty())
        request.key = query.key;
    if (!query.requestId.empty())
        request.requestId = query.requestId;
    transport::HttpRequest message;
    message.method = "POST";
    message.target = "/v1/query";
    message.body = protocol::encodeQueryRequest(request);
    return message;
}

} // namespace persimmon::load
