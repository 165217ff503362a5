#include "entry/entry_server.h"

namespace asio = boost::asio;

namespace persimmon::entry {

namespace {

/// How long callers with an outdated address are refused with the address of another entry before
/// the listener closes.
constexpr std::chrono::milliseconds RefusalPeriod{500};

transport::HttpResponse makeBodyTooLargeResponse()
{
    return makeResponse(protocol::makeErrorResponse(protocol::CallerError::BodyTooLarge,
                                                    "the body exceeds the limit of 1 MB"));
}

transport::HttpServerOptions makeHttpOptions()
{
    transport::HttpServerOptions options;
    options.maxBodyBytes = protocol::CallerBodyLimit;
    options.makeTooLargeResponse = makeBodyTooLargeResponse;
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
              makeHttpOptions())
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
    service_->stop();
    server_.close();
}

asio::awaitable<void> EntryServer::shutdown()
{
    transport::logInfo("entry", "Graceful shutdown started.");
    co_await runtime_.clock().sleep(service_->announceLeaving());
    service_->refuseNewRequests();
    co_await runtime_.clock().sleep(RefusalPeriod);
    co_await server_.drain();
    service_->stop();
    transport::logInfo("entry", "All requests have completed.");
}

} // namespace persimmon::entry
