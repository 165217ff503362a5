#include "protocol/protocol.h"

#include <doctest/doctest.h>

#include <random>

using namespace persimmon::protocol;

TEST_CASE("base64 with padding is decoded and malformed text is rejected")
{
    CHECK(decodeBase64("bm9kZS0x") == "node-1");
    CHECK(decodeBase64("YQ==") == "a");
    CHECK(decodeBase64("YWI=") == "ab");
    CHECK(decodeBase64("") == "");
    CHECK_FALSE(decodeBase64("YQ"));
    CHECK_FALSE(decodeBase64("Y==="));
    CHECK_FALSE(decodeBase64("!!!!"));
}

TEST_CASE("base64 encoding and decoding preserve arbitrary bytes")
{
    std::mt19937 random(2);
    for (int i = 0; i < 1000; ++i) {
        std::string bytes(random() % 40, '\0');
        for (auto &byte : bytes)
            byte = static_cast<char>(random());
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
    }
}
