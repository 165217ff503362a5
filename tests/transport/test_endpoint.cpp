#include "transport/transport.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::transport;

// Guards against accepting host names or missing ports, which would fail only when connecting.
TEST_CASE("parseEndpoint accepts only an IP address with a port")
{
    const auto good = parseEndpoint("127.0.1.3:7100");
    REQUIRE(isOk(good));
    CHECK(formatEndpoint(valueOf(good)) == "127.0.1.3:7100");
    for (const auto *text :
         {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"})
        CHECK_FALSE(isOk(parseEndpoint(text)));
}
