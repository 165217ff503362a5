#include "load/load_generator.h"

#include "protocol/caller_codec.h"

namespace asio = boost::asio;

namespace persimmon::load {

namespace {

/// Maximum number of attempts per query: one, and two more after a redirect or a failed entry.
constexpr int MaxAttempts = 3;
/// Time after the deadline until a query without a response fails.
constexpr std::chrono::milliseconds ResponseGrace{1000};
constexpr std::chrono::milliseconds DuplicateDelay{20};
constexpr std::chrono::milliseconds FinishPollInterval{5};
/// Number of distinct query texts, small enough that the canary check soon knows most of them.
constexpr std::uint64_t QueryVariants = 100;

bool isRedirect(const protocol::QueryResponse &answer)
{
    return answer.outcome == protocol::Outcome::NotRun && answer.home.has_value();
}

LoadResult<protocol::QueryResponse>
parseAnswer(const transport::TransportResult<transport::HttpResponse> &response)
{
    if (!isOk(response))
        return LoadError{LoadErrorCode::SendFailed, errorOf(response).message};
    const auto answer = protocol::decodeQueryResponse(valueOf(response).body);
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
      runId_(std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
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
        ++activeQueries_;
        runtime_.spawn(runQuery(makeQuery(number, intended)));
        seconds += gap(random_);
    }
    while (activeQueries_ > 0)
        co_await runtime_.clock().sleep(FinishPollInterval);
}

LoadGenerator::QueryPointer LoadGenerator::makeQuery(std::uint64_t number,
                                                     transport::TimePoint intended)
{
    auto query = std::make_shared<Query>();
    query->profile = &mix_.sample(random_);
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
    const bool duplicates = settings_.duplicateRequests && !query->profile->profile.repeatable;
    if (duplicates) {
        // The duplicate uses the request id of the query, which must be assigned before it is sent.
        const auto location = co_await locate(query);
        if (isOk(location)) {
            query->duplicated = true;
            ++query->pendingRequests;
            runtime_.spawn(sendDuplicate(query));
        }
    }
    const auto answer = co_await sendWithRetries(query);
    if (isOk(answer)) {
        query->answer = valueOf(answer);
        report_.addAnswer(query->profile->name, *query->answer,
                          runtime_.clock().now() - query->intended);
    } else {
        report_.addFailure(query->profile->name,
                           std::string(enumName(LoadErrorNames, errorOf(answer).code)));
    }
    finishRequest(query);
}

asio::awaitable<void> LoadGenerator::sendDuplicate(QueryPointer query)
{
    co_await runtime_.clock().sleep(DuplicateDelay);
    const auto answer = co_await sendWithRetries(query);
    if (isOk(answer))
        query->duplicate = valueOf(answer);
    finishRequest(query);
}

void LoadGenerator::finishRequest(const QueryPointer &query)
{
    if (--query->pendingRequests > 0)
        return;
    if (query->duplicated) {
        report_.addDuplicate(query->answer ? &*query->answer : nullptr,
                             query->duplicate ? &*query->duplicate : nullptr);
    }
    --activeQueries_;
}

asio::awaitable<LoadResult<protocol::QueryResponse>>
LoadGenerator::sendWithRetries(QueryPointer query)
{
    LoadError error{LoadErrorCode::NoEntry, "the query was not sent"};
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        const auto location = co_await locate(query);
        if (!isOk(location)) {
            error = errorOf(location);
            continue;
        }
        auto answer = co_await sendTo(query, valueOf(location));
        if (isOk(answer) && (attempt == MaxAttempts || !isRedirect(valueOf(answer))))
            co_return answer;
        locator_.invalidate(query->caller);
        if (!isOk(answer)) {
            error = errorOf(answer);
            continue;
        }
        report_.addRedirect();
        locator_.update(query->caller, *valueOf(answer).home);
        // NotRun guarantees that the request was not executed, so a new request id for the new home
        // cannot execute it twice. With a duplicate in flight, only the first id is safe.
        if (!settings_.duplicateRequests)
            query->requestId.clear();
    }
    co_return error;
}

asio::awaitable<LoadResult<EntryLocation>> LoadGenerator::locate(QueryPointer query)
{
    auto location = co_await locator_.locate(query->caller, query->profile->name);
    if (isOk(location) && !query->profile->profile.repeatable && query->requestId.empty()) {
        query->requestId =
                valueOf(location).home + ":" + runId_ + "-" + std::to_string(query->number);
    }
    co_return location;
}

asio::awaitable<LoadResult<protocol::QueryResponse>> LoadGenerator::sendTo(QueryPointer query,
                                                                           EntryLocation location)
{
    const auto timeout = query->profile->profile.deadline + ResponseGrace;
    auto request = makeRequest(*query);
    const auto response = co_await pool_.send(location.endpoint, std::move(request), timeout);
    co_return parseAnswer(response);
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
