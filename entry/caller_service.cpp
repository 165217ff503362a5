#include "entry/caller_service.h"

#include "entry/query_executor.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::CallerError;
using protocol::QueryResponse;
using transport::HttpResponse;

namespace {

/// How long a request waits for the view to be confirmed after a pause of the process.
constexpr std::chrono::milliseconds RevalidationTimeout{300};

/// Interval at which expired epochs and the service state of this host are checked.
constexpr std::chrono::milliseconds WatchInterval{250};

/// An entry refuses requests once it has been out of service for longer than the validity of locate
/// answers plus this margin, which covers the propagation of the change to the entries that send
/// these answers.
constexpr std::chrono::milliseconds OutOfServiceMargin{2000};

/// Lifetime of an announced shutdown if the host does not return. A restarted entry has a new
/// incarnation, which invalidates the announcement earlier.
constexpr std::chrono::minutes LeavingRecordTtl{5};

/// HTTP statuses of GET /v1/health.
constexpr int HealthyStatus = 200;
constexpr int RefusingStatus = 503;

} // namespace

HttpResponse makeResponse(const QueryResponse &answer)
{
    return {protocol::httpStatus(answer), protocol::encodeQueryResponse(answer)};
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
    hooks_.reportLeaving(LeavingRecordTtl);
    // Other entries send this address until they have received the announcement.
    return options_.validFor + OutOfServiceMargin;
}

void CallerService::stop()
{
    stopped_ = true;
    prober_->stop();
}

void CallerService::refuseNewRequests()
{
    draining_ = true;
}

asio::awaitable<void> CallerService::watch(std::shared_ptr<CallerService> self)
{
    self->lastInServiceAt_ = self->now();
    while (!self->stopped_) {
        co_await self->runtime_.clock().sleep(WatchInterval);
        self->updateServiceState();
    }
}

void CallerService::updateServiceState()
{
    nonRepeatable_.dropExpired();
    if (isInService())
        lastInServiceAt_ = now();
    outOfServiceTooLong_ = now() - lastInServiceAt_ > options_.validFor + OutOfServiceMargin;
}

bool CallerService::isRefusing() const
{
    // The view may list the host as in service again before the next iteration of watch().
    return draining_ || (outOfServiceTooLong_ && !isInService());
}

bool CallerService::isInService() const
{
    const auto view = hooks_.currentView();
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
        co_return makeResponse(
                protocol::makeErrorResponse(CallerError::NotFound, "no such resource"));
    const auto start = now();
    auto answer = co_await handleQuery(request.body);
    answer.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now() - start);
    recordMetrics(answer);
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
    const auto view = hooks_.currentView();
    if (!view)
        return makeResponse(protocol::makeErrorResponse(CallerError::StaleView,
                                                        "this entry has not received a view yet"));
    const auto answer = locator_.locate(*view, caller, now());
    if (!answer)
        return makeResponse(
                protocol::makeErrorResponse(CallerError::NoOwner, "no entry is available"));
    return {200, protocol::encodeLocateResponse(*answer)};
}

asio::awaitable<QueryResponse> CallerService::handleQuery(std::string body)
{
    auto decoded = protocol::decodeQueryRequest(body);
    if (!isOk(decoded))
        co_return protocol::makeErrorResponse(CallerError::MalformedBody, errorOf(decoded).message);
    auto request = takeValue(decoded);
    const auto id = request.requestId;
    RefusalRecord refusal;
    refusal.caller = request.caller;
    refusal.profile = request.profile;
    auto answer = co_await runQuery(std::move(request));
    if (id)
        answer.requestId = *id;
    if (answer.outcome != protocol::Outcome::Done)
        recordRefusal(std::move(refusal), answer);
    co_return answer;
}

asio::awaitable<QueryResponse> CallerService::runQuery(protocol::QueryRequest request)
{
    const auto arrival = now();
    auto refusal = co_await validateRequest(request);
    const auto view = hooks_.currentView();
    protocol::Profile profile;
    // The profile may be unknown here although a request with this id has already run. Only its
    // home can tell, so a request with an id is treated as non-repeatable.
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
    const LateAnswerHandler noLateAnswerHandler;
    co_return co_await execute_(std::move(request), arrival, noLateAnswerHandler);
}

asio::awaitable<std::optional<QueryResponse>>
CallerService::validateRequest(const protocol::QueryRequest &request)
{
    if (isRefusing())
        co_return makeShutdownRefusal(request.caller);
    if (!co_await isViewConfirmed())
        co_return protocol::makeErrorResponse(CallerError::StaleView, "the view is not confirmed");
    const auto view = hooks_.currentView();
    const auto profile = view->profiles.find(request.profile);
    if (profile == view->profiles.end())
        co_return protocol::makeErrorResponse(CallerError::UnknownProfile,
                                              "unknown profile " + request.profile);
    if (profile->second.scope == protocol::Scope::Key && !request.key)
        co_return protocol::makeErrorResponse(CallerError::MalformedBody,
                                              "/key: required by the profile");
    if (timeLimit(profile->second, request) <= std::chrono::milliseconds::zero())
        co_return protocol::makeErrorResponse(CallerError::DeadlineOver,
                                              "deadline_ms is not positive");
    co_return std::nullopt;
}

asio::awaitable<bool> CallerService::isViewConfirmed()
{
    if (!hooks_.currentView())
        co_return false;
    if (!hooks_.needsRevalidation())
        co_return true;
    co_return co_await hooks_.revalidate(RevalidationTimeout);
}

QueryResponse CallerService::makeShutdownRefusal(const std::string &caller)
{
    auto answer =
            protocol::makeErrorResponse(CallerError::ShuttingDown, "this entry is shutting down");
    if (const auto view = hooks_.currentView())
        answer.home = locator_.locate(*view, caller, now());
    return answer;
}

void CallerService::recordRefusal(RefusalRecord refusal, const QueryResponse &answer)
{
    const auto view = hooks_.currentView();
    refusal.time = std::chrono::system_clock::now();
    refusal.requestId = answer.requestId;
    refusal.outcome = answer.outcome;
    refusal.error = answer.error;
    refusal.message = answer.message;
    refusal.configRevision = view ? view->configRevision : 0;
    refusals_.add(std::move(refusal));
}

void CallerService::recordMetrics(const QueryResponse &answer)
{
    const auto outcome = std::string(enumName(protocol::OutcomeNames, answer.outcome));
    const auto error = std::string(protocol::callerErrorName(answer.error));
    metrics_.counter("persimmon_entry_queries_total", "Queries by outcome and error.",
                     "outcome=\"" + outcome + "\",error=\"" + error + "\"")
            .add();
    metrics_.latency("persimmon_entry_query_seconds",
                     "Time between the arrival of a request and its answer.")
            .record(answer.elapsed);
    if (!answer.coverage)
        return;
    metrics_.counter("persimmon_entry_shards_total", "Shards required by queries.")
            .add(answer.coverage->shards);
    metrics_.counter("persimmon_entry_shards_answered_total", "Shards included in answers.")
            .add(answer.coverage->answered);
}

} // namespace persimmon::entry
