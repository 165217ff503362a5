#include "entry/caller_service.h"

#include "entry/query_executor.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::CallerError;
using protocol::QueryAnswer;
using transport::HttpResponse;

namespace {

/// Wait for a confirmation of the view after a pause of the process.
constexpr std::chrono::milliseconds RevalidationLimit{300};

/// How often epochs and the service state of this host are checked.
constexpr std::chrono::milliseconds WatchInterval{250};

/// Time beyond the validity of locate answers before an entry out of service refuses requests;
/// it covers the propagation of the change to the entries that give these answers.
constexpr std::chrono::milliseconds OutOfServiceMargin{2000};

/// How long an announced shutdown is remembered if the host never comes back; a restarted entry has
/// a new incarnation, which ends it earlier.
constexpr std::chrono::minutes LeavingDuration{5};

/// Statuses of GET /v1/health.
constexpr int HealthyStatus = 200;
constexpr int RefusingStatus = 503;

} // namespace

HttpResponse makeResponse(const QueryAnswer &answer)
{
    return {protocol::httpStatus(answer), protocol::encodeQueryAnswer(answer)};
}

CallerService::CallerService(transport::Runtime &runtime, transport::Metrics &metrics,
                             EntryHooks hooks, ExecuteQuery execute, EntryServerOptions options)
    : runtime_(runtime),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      execute_(std::move(execute)),
      options_(std::move(options)),
      prober_(std::make_shared<EntryProber>(runtime, hooks_, options_.identity.host,
                                            options_.entryPort)),
      locator_(options_.identity, options_.validFor, options_.entryPort, *prober_),
      nonRepeatable_(runtime, options_.identity, hooks_, execute_, options_.entryPort)
{
}

transport::Duration CallerService::announceLeaving()
{
    hooks_.reportLeaving(LeavingDuration);
    // Other entries still name this one until they learn that it leaves.
    return options_.validFor + OutOfServiceMargin;
}

void CallerService::end()
{
    ended_ = true;
    prober_->end();
}

void CallerService::refuseNewRequests()
{
    stopping_ = true;
}

asio::awaitable<void> CallerService::watch(std::shared_ptr<CallerService> self)
{
    self->inServiceAt_ = self->now();
    while (!self->ended_) {
        co_await self->runtime_.clock().sleep(WatchInterval);
        self->check();
    }
}

void CallerService::check()
{
    nonRepeatable_.dropExpired();
    if (isInService())
        inServiceAt_ = now();
    outForLong_ = now() - inServiceAt_ > options_.validFor + OutOfServiceMargin;
}

bool CallerService::isRefusing() const
{
    // The view may say that the host is back before the next round of watch().
    return stopping_ || (outForLong_ && !isInService());
}

bool CallerService::isInService() const
{
    const auto view = hooks_.view();
    if (!view)
        return true;
    const auto self = view->entryHosts.find(options_.identity.host);
    return self == view->entryHosts.end()
           || (!view->outHosts.contains(self->first)
               && !view->outDomains.contains(self->second.failureDomain));
}

asio::awaitable<HttpResponse> CallerService::handle(transport::HttpRequest request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (request.method == "GET" && path == "/v1/locate")
        co_return handleLocate(request.target);
    if (request.method == "GET" && path == "/v1/health")
        co_return HttpResponse(isRefusing() ? RefusingStatus : HealthyStatus, "{}");
    if (request.method != "POST" || path != "/v1/query")
        co_return makeResponse(protocol::makeRefusal(CallerError::NotFound, "no such resource"));
    const auto start = now();
    auto answer = co_await handleQuery(request.body);
    answer.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now() - start);
    record(answer);
    co_return makeResponse(answer);
}

HttpResponse CallerService::handleLocate(const std::string &target)
{
    const auto url = boost::urls::parse_origin_form(target);
    std::string caller;
    if (url.has_value()) {
        for (const auto &param : url->params()) {
            if (param.key == "caller")
                caller = param.value;
        }
    }
    const auto view = hooks_.view();
    if (!view)
        return makeResponse(protocol::makeRefusal(CallerError::StaleView, "no view yet"));
    const auto answer = locator_.locate(*view, caller, now());
    if (!answer)
        return makeResponse(protocol::makeRefusal(CallerError::NoOwner, "no entry is available"));
    return {200, protocol::encodeLocateAnswer(*answer)};
}

asio::awaitable<QueryAnswer> CallerService::handleQuery(std::string body)
{
    auto decoded = protocol::decodeQueryRequest(body);
    if (!isOk(decoded))
        co_return protocol::makeRefusal(CallerError::MalformedBody, errorOf(decoded).message);
    auto request = takeValue(decoded);
    const auto id = request.requestId;
    RefusalRow row;
    row.caller = request.caller;
    row.profile = request.profile;
    auto answer = co_await runQuery(std::move(request));
    if (id)
        answer.requestId = *id;
    if (answer.outcome != protocol::Outcome::Done)
        logRefusal(std::move(row), answer);
    co_return answer;
}

asio::awaitable<QueryAnswer> CallerService::runQuery(protocol::QueryRequest request)
{
    const auto arrival = now();
    auto refusal = co_await findRefusal(request);
    const auto view = hooks_.view();
    protocol::Profile profile;
    // Without its profile a request with an id may still have run before, which only its home
    // knows.
    profile.repeatable = !request.requestId.has_value();
    if (view && view->profiles.contains(request.profile))
        profile = view->profiles.at(request.profile);
    if (!profile.repeatable) {
        const auto deadline = arrival + timeLimit(profile, request);
        co_return co_await nonRepeatable_.execute(std::move(request), arrival, deadline,
                                                  std::move(refusal));
    }
    if (refusal)
        co_return std::move(*refusal);
    const LateHandler noLate;
    co_return co_await execute_(std::move(request), arrival, noLate);
}

asio::awaitable<std::optional<QueryAnswer>>
CallerService::findRefusal(const protocol::QueryRequest &request)
{
    if (isRefusing())
        co_return refuseShutdown(request.caller);
    if (!co_await isViewVerified())
        co_return protocol::makeRefusal(CallerError::StaleView, "the view is not confirmed");
    const auto view = hooks_.view();
    const auto profile = view->profiles.find(request.profile);
    if (profile == view->profiles.end())
        co_return protocol::makeRefusal(CallerError::UnknownProfile,
                                        "unknown profile " + request.profile);
    if (profile->second.scope == protocol::Scope::Key && !request.key)
        co_return protocol::makeRefusal(CallerError::MalformedBody, "/key: the profile needs one");
    if (timeLimit(profile->second, request) <= std::chrono::milliseconds::zero())
        co_return protocol::makeRefusal(CallerError::DeadlineOver, "deadline_ms is not positive");
    co_return std::nullopt;
}

asio::awaitable<bool> CallerService::isViewVerified()
{
    if (!hooks_.view())
        co_return false;
    if (!hooks_.needsRevalidation())
        co_return true;
    co_return co_await hooks_.revalidate(RevalidationLimit);
}

QueryAnswer CallerService::refuseShutdown(const std::string &caller)
{
    auto answer = protocol::makeRefusal(CallerError::ShuttingDown, "this entry is shutting down");
    if (const auto view = hooks_.view())
        answer.home = locator_.locate(*view, caller, now());
    return answer;
}

void CallerService::logRefusal(RefusalRow row, const QueryAnswer &answer)
{
    const auto view = hooks_.view();
    row.time = std::chrono::system_clock::now();
    row.requestId = answer.requestId;
    row.outcome = answer.outcome;
    row.error = answer.error;
    row.message = answer.message;
    row.configRevision = view ? view->configRevision : 0;
    refusals_.add(std::move(row));
}

void CallerService::record(const QueryAnswer &answer)
{
    const auto outcome = std::string(enumName(protocol::OutcomeNames, answer.outcome));
    const auto error = std::string(protocol::callerErrorName(answer.error));
    metrics_.counter("persimmon_entry_queries_total", "Queries by outcome and error.",
                     "outcome=\"" + outcome + "\",error=\"" + error + "\"")
            .add();
    metrics_.latency("persimmon_entry_query_seconds", "Time from request to answer.")
            .record(answer.elapsed);
    if (!answer.coverage)
        return;
    metrics_.counter("persimmon_entry_shards_total", "Shards that queries needed.")
            .add(answer.coverage->shards);
    metrics_.counter("persimmon_entry_shards_answered_total", "Shards that answers contained.")
            .add(answer.coverage->answered);
}

} // namespace persimmon::entry
