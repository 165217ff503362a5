#include "entry/entry_server.h"

namespace asio = boost::asio;

namespace persimmon::entry {

namespace {

/// Time in which callers with an outdated address get a refusal with a better one, before the
/// listener closes.
constexpr std::chrono::milliseconds RefusalTime{500};

transport::HttpResponse refuseLargeBody()
{
    return makeResponse(
            protocol::makeRefusal(protocol::CallerError::BodyTooLarge, "the limit is 1 MB"));
}

transport::HttpServerOptions httpOptions()
{
    transport::HttpServerOptions options;
    options.bodyLimit = protocol::CallerBodyLimit;
    options.tooLarge = refuseLargeBody;
    return options;
}

} // namespace

EntryServer::EntryServer(transport::Runtime &runtime, transport::Metrics &metrics, EntryHooks hooks,
                         ExecuteQuery execute, EntryServerOptions options)
    : runtime_(runtime),
      service_(std::make_shared<CallerService>(runtime, metrics, std::move(hooks),
                                               std::move(execute), std::move(options))),
      server_(
              runtime,
              [service = service_](transport::HttpRequest request) {
                  return service->handle(std::move(request));
              },
              httpOptions())
{
}

EntryServer::~EntryServer()
{
    close();
}

transport::TransportResult<transport::Endpoint>
EntryServer::listen(const transport::Endpoint &endpoint)
{
    return server_.listen(endpoint);
}

void EntryServer::close()
{
    service_->end();
    server_.close();
}

asio::awaitable<void> EntryServer::shutdown()
{
    transport::logInfo("entry", "The graceful shutdown begins.");
    co_await runtime_.clock().sleep(service_->announceLeaving());
    service_->refuseNewRequests();
    co_await runtime_.clock().sleep(RefusalTime);
    co_await server_.drain();
    service_->end();
    transport::logInfo("entry", "No request is running.");
}

} // namespace persimmon::entry
