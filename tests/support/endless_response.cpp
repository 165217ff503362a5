#include "tests/support/endless_response.h"

namespace persimmon::tests {

std::vector<EndlessResponse> endlessResponses(const std::string &fields)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(16U * 1024U, 'x');
    return {{"header fields", ok, "X-Filler: " + std::string(1000, 'x') + "\r\n"},
            {"one header line", ok + "X-Filler: ", filler},
            {"status line", "", filler},
            {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
            {"body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", filler},
            {"body without a length", ok + "Connection: close\r\n\r\n", filler},
            {"chunks", chunked, "4000\r\n" + filler + "\r\n"},
            {"chunk extension", chunked + "4;", filler},
            {"chunk size", chunked, std::string(1024, '0')},
            {"trailer fields", chunked + "0\r\n", "X-Filler: " + std::string(1000, 'x') + "\r\n"}};
}

EndlessResponse unfinishedResponse(const std::string &fields, std::size_t length)
{
    return {"body that stops short",
            "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(length)
                    + "\r\n\r\n" + std::string(length - 1, 'x'),
            ""};
}

} // namespace persimmon::tests
