#pragma once

#include "transport/http_message.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace persimmon::transport {

/// Registry of JSON-RPC 2.0 methods, dispatched by libjsonrpccpp. HttpServer carries the requests,
/// since the HTTP server of libjsonrpccpp blocks one thread per connection.
class RpcService
{
public:
    /// Handles one call; a std::exception is returned as a JSON-RPC internal error.
    using Method = std::function<Json::Value(const Json::Value &)>;

    RpcService();
    ~RpcService();

    /// Adds a method with named parameters. Must not be called while requests are handled.
    void add(const std::string &name, Method method);

    /// Handles one request.
    /// @param body JSON-RPC request.
    /// @return the HTTP response that contains the JSON-RPC response.
    HttpResponse handle(const std::string &body) const;

private:
    class Dispatcher;
    std::unique_ptr<Dispatcher> dispatcher_;
};

} // namespace persimmon::transport
