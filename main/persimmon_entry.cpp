#include "coordination/coordination.h"
#include "dispatch/dispatch.h"
#include "entry/entry.h"

using namespace persimmon;

namespace {

constexpr int ExitStartFailure = 1;
constexpr std::chrono::milliseconds DefaultLocateValidity{3000};
constexpr std::chrono::milliseconds ViewPollInterval{50};

void declareSettings(transport::Settings &settings)
{
    coordination::addDaemonSettings(settings, protocol::EntryPort);
    coordination::addViewSettings(settings);
    settings.addChoice("policy",
                       "how queries are executed: through dispatchers (managed) or directly on the "
                       "upstreams (naive)",
                       "managed", {"managed", "naive"});
    settings.addMilliseconds("locate-validity", "how long callers may cache a locate answer",
                             DefaultLocateValidity, std::chrono::milliseconds(100),
                             std::chrono::minutes(5));
    settings.addChoice("canary",
                       "whether a query with an unproven fingerprint is sent to one shard first",
                       "on", {"on", "off"});
}

/// Owns the components of the entry daemon. Members refer to those declared before them.
class EntryDaemon
{
public:
    explicit EntryDaemon(const transport::Settings &settings);

    /// @return exit status of the program.
    int run();

private:
    entry::EntryHooks makeHooks();
    entry::LinkOptions makeLinkOptions();
    entry::QueryExecutorOptions makeQueryExecutorOptions() const;
    entry::EntryServerOptions makeServerOptions() const;
    coordination::AdminOptions makeAdminOptions();
    /// @return the query executor that the flag --policy selects.
    entry::ExecuteQuery makeQueryHandler();
    /// Reports the incarnation and its epoch at the start of each epoch.
    boost::asio::awaitable<void> reportEpochs();
    boost::asio::awaitable<void> shutDown();

    const transport::Settings &settings_;
    transport::Metrics metrics_;
    transport::Runtime runtime_;
    const entry::EntryIdentity identity_;
    coordination::ViewClient views_;
    transport::Counter &unmatchedResults_;
    entry::DispatcherLinkPool links_;
    dispatch::UpstreamClient upstreamClient_;
    entry::QueryExecutor managedExecutor_;
    entry::NaiveExecutor naiveExecutor_;
    entry::EntryServer server_;
    coordination::AdminServer admin_;
};

EntryDaemon::EntryDaemon(const transport::Settings &settings)
    : settings_(settings),
      runtime_(static_cast<int>(settings.integer("threads"))),
      identity_{settings.text("host"), coordination::makeIncarnation(), runtime_.clock().now()},
      views_(runtime_, coordination::viewClientOptions(settings)),
      unmatchedResults_(metrics_.counter("persimmon_entry_unmatched_results_total",
                                         "Results that belong to no open sub-request.")),
      links_(runtime_, makeLinkOptions()),
      upstreamClient_(runtime_, metrics_),
      managedExecutor_(runtime_, metrics_, links_, makeHooks(), makeQueryExecutorOptions()),
      naiveExecutor_(runtime_, upstreamClient_, makeHooks(), identity_.incarnation),
      server_(runtime_, metrics_, makeHooks(), makeQueryHandler(), makeServerOptions()),
      admin_(runtime_, metrics_, makeAdminOptions())
{
}

entry::EntryHooks EntryDaemon::makeHooks()
{
    entry::EntryHooks hooks;
    hooks.currentView = [this] { return views_.view(); };
    hooks.needsRevalidation = [this] { return views_.needsRevalidation(); };
    hooks.revalidate = [this](transport::Duration limit) { return views_.revalidate(limit); };
    hooks.onPeerRevision = [this](std::uint64_t revision) { views_.observePeerRevision(revision); };
    hooks.reportLeaving = [this](std::chrono::milliseconds duration) {
        views_.reportLeaving(identity_.incarnation, duration);
    };
    return hooks;
}

entry::LinkOptions EntryDaemon::makeLinkOptions()
{
    entry::LinkOptions options;
    options.makeHello = [this] {
        const auto view = views_.view();
        protocol::Hello hello;
        hello.host = identity_.host;
        hello.incarnation = identity_.incarnation;
        hello.configRevision = view ? view->configRevision : 0;
        return hello;
    };
    options.onPeerRevision = [this](std::uint64_t revision) {
        views_.observePeerRevision(revision);
    };
    options.onUnmatchedResult = [this] { unmatchedResults_.add(); };
    return options;
}

entry::QueryExecutorOptions EntryDaemon::makeQueryExecutorOptions() const
{
    entry::QueryExecutorOptions options;
    options.host = identity_.host;
    options.incarnation = identity_.incarnation;
    options.canary = settings_.text("canary") == "on";
    return options;
}

entry::EntryServerOptions EntryDaemon::makeServerOptions() const
{
    entry::EntryServerOptions options;
    options.identity = identity_;
    options.validFor = settings_.milliseconds("locate-validity");
    options.entryPort = static_cast<std::uint16_t>(settings_.integer("port"));
    return options;
}

coordination::AdminOptions EntryDaemon::makeAdminOptions()
{
    coordination::AdminOptions options;
    options.program = "persimmon-entry";
    options.host = identity_.host;
    options.view = [this] { return views_.view(); };
    options.audit = [this] { return views_.audit().rows(); };
    options.addStatusMembers = [this](Json::Value &status) {
        status["failure_domain"] = settings_.text("failure-domain");
        status["policy"] = settings_.text("policy");
    };
    options.addMethods = [this](transport::RpcService &rpc) {
        rpc.add("explain_refusal", [this](const Json::Value &parameters) {
            return server_.refusals().explain(parameters.get("request_id", "").asString());
        });
    };
    return options;
}

entry::ExecuteQuery EntryDaemon::makeQueryHandler()
{
    if (settings_.text("policy") == "naive") {
        return [this](protocol::QueryRequest request, state::TimePoint arrival,
                      entry::LateAnswerHandler onLateAnswer) {
            return naiveExecutor_.execute(std::move(request), arrival, std::move(onLateAnswer));
        };
    }
    return [this](protocol::QueryRequest request, state::TimePoint arrival,
                  entry::LateAnswerHandler onLateAnswer) {
        return managedExecutor_.execute(std::move(request), arrival, std::move(onLateAnswer));
    };
}

boost::asio::awaitable<void> EntryDaemon::reportEpochs()
{
    // Other entries return this entry to callers once its incarnation is reported, so the first
    // report waits until the view is loaded.
    while (!views_.isReady())
        co_await runtime_.clock().sleep(ViewPollInterval);
    const state::EpochClock epochs(identity_.started);
    while (true) {
        views_.reportIncarnation(identity_.incarnation, epochs.epochAt(runtime_.clock().now()));
        const auto next = state::EpochLength
                          - (runtime_.clock().now() - identity_.started) % state::EpochLength;
        co_await runtime_.clock().sleep(next);
    }
}

boost::asio::awaitable<void> EntryDaemon::shutDown()
{
    co_await server_.shutdown();
    runtime_.requestStop();
}

int EntryDaemon::run()
{
    if (!coordination::logListenResult("entry",
                                       server_.listen(coordination::daemonEndpoint(settings_))))
        return ExitStartFailure;
    if (!settings_.isEmpty("admin")
        && !coordination::logListenResult("admin", admin_.listen(settings_.endpoint("admin"))))
        return ExitStartFailure;
    views_.start();
    runtime_.spawn(reportEpochs());
    runtime_.spawn(server_.watch());
    runtime_.spawn(server_.watchEntries());
    runtime_.onTermination([this] { runtime_.spawn(shutDown()); });
    runtime_.run();
    transport::logInfo("entry", "The entry has stopped.");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings("persimmon-entry",
                                 "Serves callers: locates entries and executes queries.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    EntryDaemon daemon(settings);
    return daemon.run();
}
