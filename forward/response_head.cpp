#include "forward/response_head.h"

#include "forward/status_line.h"

#include <algorithm>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace persimmon::forward {

namespace {

bool containsStatusLineText(beast::string_view text)
{
    return containsStatusLine({text.data(), text.size()});
}

} // namespace

bool containsSecondHead(const http::response_header<> &head, const HeaderNames &names)
{
    if (containsStatusLineText(head.reason()))
        return true;
    for (const auto &name : {names.requestId, names.signature, names.notExecuted}) {
        if (head.count(name) > 1)
            return true;
    }
    return std::any_of(head.begin(), head.end(),
                       [](const auto &field) { return containsStatusLineText(field.value()); });
}

} // namespace persimmon::forward
