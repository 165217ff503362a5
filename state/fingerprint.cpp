#include "state/fingerprint.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <initializer_list>

namespace persimmon::state {

namespace {

std::uint64_t hashParts(std::initializer_list<std::string_view> parts)
{
    std::string text;
    // The separator distinguishes ("ab", "c") from ("a", "bc").
    for (const auto &part : parts)
        text.append(part).append("\n");
    if (!text.empty())
        text.pop_back();
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

std::uint64_t queryFingerprint(std::string_view group, std::string_view query)
{
    return hashParts({group, query});
}

std::uint64_t requestFingerprint(std::string_view method, std::string_view host,
                                 std::string_view target, std::string_view body)
{
    return hashParts({method, host, target, body});
}

std::string formatFingerprint(std::uint64_t fingerprint)
{
    constexpr int Hexadecimal = 16;
    std::array<char, sizeof(fingerprint) * 2> digits{};
    const auto result =
            std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint, Hexadecimal);
    return {digits.data(), result.ptr};
}

} // namespace persimmon::state
