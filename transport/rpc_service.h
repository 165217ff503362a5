#pragma once

#include "transport/http_message.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace persimmon::transport {

/// JSON-RPC 2.0 methods of one process, dispatched by libjsonrpccpp. The HTTP side is a Beast
/// server, since libjsonrpccpp's own HTTP server blocks a thread for each connection.
class RpcService
{
public:
    /// Answers one call; an std::exception becomes a JSON-RPC error.
    using Method = std::function<Json::Value(const Json::Value &)>;

    RpcService();
    ~RpcService();

    /// Adds a method with named parameters. Not to be called while requests are handled.
    void add(const std::string &name, Method method);

    /// @param body JSON-RPC request.
    /// @return the HTTP response that carries the JSON-RPC response.
    HttpResponse handle(const std::string &body) const;

private:
    class Dispatcher;
    std::unique_ptr<Dispatcher> dispatcher_;
};

} // namespace persimmon::transport
