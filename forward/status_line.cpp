#include "forward/status_line.h"

#include <algorithm>
#include <cctype>

namespace persimmon::forward {

namespace {

/// A zero stands for any digit.
constexpr std::string_view Pattern = "HTTP/1.0 000";
static_assert(Pattern.size() == StatusLineStartBytes);

} // namespace

bool mayBeginStatusLine(std::string_view text)
{
    const auto compared = text.substr(0, Pattern.size());
    return std::equal(
            compared.begin(), compared.end(), Pattern.begin(), [](char letter, char expected) {
                const bool isDigit = std::isdigit(static_cast<unsigned char>(letter)) != 0;
                return expected == '0' ? isDigit : letter == expected;
            });
}

bool containsStatusLine(std::string_view text)
{
    for (auto at = text.find(StatusLineStart); at != std::string_view::npos;
         at = text.find(StatusLineStart, at + 1)) {
        const auto rest = text.substr(at);
        if (rest.size() >= Pattern.size() && mayBeginStatusLine(rest))
            return true;
    }
    return false;
}

} // namespace persimmon::forward
