#include "tests/system/config_service_proxy.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace persimmon::tests {

ConfigServiceProxy::ConfigServiceProxy(std::string upstreamAddress)
    : upstreamAddress_(std::move(upstreamAddress)),
      server_([this](const std::string &request) { return handle(request); })
{
}

void ConfigServiceProxy::replaceResponses(const RawResponse &response)
{
    replacement_ = response;
    isReplaced_ = true;
}

RawResponse ConfigServiceProxy::handle(const std::string &request)
{
    if (isReplaced_)
        return replacement_;
    const auto begin = request.find(' ') + 1;
    const auto target = request.substr(begin, request.find(' ', begin) - begin);
    const auto answer = client_.send(origin_, "GET", target);
    if (!answer)
        return {"", true};
    return {makeResponse(replaceUpstreams(answer->body), "", "", answer->status)};
}

std::string ConfigServiceProxy::replaceUpstreams(const std::string &body) const
{
    boost::system::error_code error;
    auto document = json::parse(body, error);
    if (error || !document.is_object() || !document.as_object().contains("hosts"))
        return body;
    for (auto &row : document.as_object().at("hosts").as_array()) {
        const std::string_view name(row.at("name").as_string());
        if (name.starts_with("trial-field") && name.ends_with("-a"))
            row.as_object()["address"] = upstreamAddress_;
    }
    return json::serialize(document);
}

} // namespace persimmon::tests
