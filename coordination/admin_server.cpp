#include "coordination/admin_server.h"

#include "coordination/view_json.h"

namespace asio = boost::asio;

namespace persimmon::coordination {

namespace {

constexpr int StatusNotFound = 404;

Json::Value describeStatus(const AdminOptions &options)
{
    Json::Value status(Json::objectValue);
    status["program"] = options.program;
    status["version"] = PERSIMMON_VERSION;
    status["host"] = options.host;
    const auto view = options.view();
    status["ready"] = view != nullptr;
    if (view) {
        status["config_revision"] = Json::UInt64(view->configRevision);
        status["entry_hosts"] = Json::UInt64(view->entryHosts.size());
        status["services"] = Json::UInt64(view->upstreams.size());
        status["quarantined"] = Json::UInt64(view->quarantined.size());
    }
    if (options.addStatusMembers)
        options.addStatusMembers(status);
    return status;
}

} // namespace

struct AdminServer::State
{
    transport::Metrics &metrics;
    AdminOptions options;
    transport::RpcService methods;

    void addViewMethod(const std::string &name, Json::Value (*describe)(const state::ClusterView &))
    {
        methods.add(name, [this, describe](const Json::Value &) {
            const auto view = options.view();
            if (!view)
                throw std::runtime_error("the process has not received a complete view yet");
            return describe(*view);
        });
    }
};

AdminServer::AdminServer(transport::Runtime &runtime, transport::Metrics &metrics,
                         AdminOptions options)
    : state_(new State{metrics, std::move(options), {}})
{
    auto *state = state_.get();
    state->methods.add("status",
                       [state](const Json::Value &) { return describeStatus(state->options); });
    state->methods.add("audit", [state](const Json::Value &) {
        return describeAudit(state->options.audit());
    });
    state->addViewMethod("config_show", describeConfig);
    state->addViewMethod("owners", describeOwners);
    if (state->options.addMethods)
        state->options.addMethods(state->methods);
    auto handler =
            [state = state_](
                    transport::HttpRequest request) -> asio::awaitable<transport::HttpResponse> {
        if (request.method == "POST" && request.target == transport::RpcPath)
            co_return state->methods.handle(request.body);
        if (request.method == "GET" && request.target == "/metrics")
            co_return transport::HttpResponse{200, state->metrics.format(), "text/plain"};
        co_return transport::HttpResponse{StatusNotFound, "{}"};
    };
    server_ = std::make_unique<transport::HttpServer>(runtime, std::move(handler));
}

AdminServer::~AdminServer() = default;

transport::TransportResult<transport::Endpoint>
AdminServer::listen(const transport::Endpoint &endpoint)
{
    return server_->listen(endpoint);
}

void AdminServer::close()
{
    server_->close();
}

} // namespace persimmon::coordination
