#include "state/request_id.h"

#include <algorithm>
#include <charconv>

namespace persimmon::state {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    if (text.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

bool isUniqueCharacter(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'
           || c == '-';
}

bool isUnique(std::string_view text)
{
    return !text.empty() && text.size() <= MaxUniqueLength
           && std::all_of(text.begin(), text.end(), isUniqueCharacter);
}

std::optional<Home> parseHome(std::string_view text)
{
    // Host names may contain dots, so the numbers are parsed from the end.
    const auto epochDot = text.rfind('.');
    if (epochDot == std::string_view::npos || epochDot == 0)
        return std::nullopt;
    const auto incarnationDot = text.rfind('.', epochDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot == 0)
        return std::nullopt;
    const auto epoch = parseNumber(text.substr(epochDot + 1), 10);
    const auto incarnation =
            parseNumber(text.substr(incarnationDot + 1, epochDot - incarnationDot - 1), 16);
    if (!epoch || !incarnation)
        return std::nullopt;
    return Home{std::string(text.substr(0, incarnationDot)), *incarnation, *epoch};
}

} // namespace

std::string formatHome(const Home &home)
{
    char digits[16];
    const auto end = std::to_chars(digits, digits + sizeof(digits), home.incarnation, 16).ptr;
    return home.host + "." + std::string(digits, end) + "." + std::to_string(home.epoch);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isUnique(text.substr(colon + 1)))
        return std::nullopt;
    auto home = parseHome(text.substr(0, colon));
    if (!home)
        return std::nullopt;
    RequestId id{std::move(*home), std::string(text.substr(colon + 1))};
    // Accepts only the canonical form, so that "012" and "12" cannot create two records.
    if (formatHome(id.home) != text.substr(0, colon))
        return std::nullopt;
    return id;
}

} // namespace persimmon::state
