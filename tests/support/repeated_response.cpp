#include "tests/support/repeated_response.h"

#include <cstdio>

namespace persimmon::tests {

namespace {

constexpr std::chrono::milliseconds Pause{30};

std::string headOf(const std::string &response)
{
    return response.substr(0, response.size() - bodyOf(response).size());
}

/// @return the response without its last @p missing bytes.
std::string cutOff(const std::string &response, std::size_t missing)
{
    return response.substr(0, response.size() - std::min(missing, response.size()));
}

std::string withoutField(const std::string &response, const std::string &name)
{
    const auto begin = response.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
        return response;
    return response.substr(0, begin) + response.substr(response.find("\r\n", begin + 2));
}

/// @return the response with a body that ends with the connection.
std::string withoutLength(const std::string &response)
{
    auto text = withoutField(response, "Content-Length");
    return text.insert(text.find("\r\n") + 2, "Connection: close\r\n");
}

std::string inOldVersion(const std::string &response)
{
    constexpr std::string_view Version = "HTTP/1.0";
    return std::string(Version) + withoutLength(response).substr(Version.size());
}

std::string chunked(const std::string &response)
{
    const auto body = bodyOf(response);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    auto head = headOf(withoutField(response, "Content-Length"));
    head.insert(head.find("\r\n") + 2, "Transfer-Encoding: chunked\r\n");
    return head + size.data() + "\r\n" + body + "\r\n0\r\n\r\n";
}

} // namespace

RawResponse repeatResponse(Repetition repetition, const std::string &own, const std::string &copy,
                           const std::string &idField)
{
    const auto half = bodyOf(own).size() / 2;
    const auto brokenOff = cutOff(own, half);
    RawResponse result{own};
    switch (repetition) {
    case Repetition::CopyFirst:
        result.bytes = copy + own;
        break;
    case Repetition::TwoCopiesFirst:
        result.bytes = copy + copy + own;
        break;
    case Repetition::HalfCopyFirst:
        result.bytes = cutOff(copy, copy.size() / 2) + own;
        break;
    case Repetition::CopyWithoutIdFirst:
        result.bytes = withoutField(copy, idField) + own;
        break;
    case Repetition::StatusLineFirst:
        result.bytes = copy.substr(0, copy.find("\r\n") + 2) + own;
        break;
    case Repetition::HeadBrokenOff:
        result.bytes = cutOff(headOf(own), headOf(own).size() / 2) + own;
        break;
    case Repetition::BodyBrokenOff:
        result.bytes = brokenOff + own;
        break;
    case Repetition::BodyBrokenOffThenLate:
        result.bytes = brokenOff;
        result.later = own;
        result.laterBy = Pause;
        break;
    case Repetition::BodyBrokenOffTwice:
        result.bytes = brokenOff + brokenOff + own;
        break;
    case Repetition::BodyBrokenOffThenCopy:
        result.bytes = brokenOff + copy;
        break;
    case Repetition::BodyBrokenOffThenInterim:
        result.bytes = brokenOff + "HTTP/1.1 102 Processing\r\n\r\n" + own;
        break;
    case Repetition::BodyBrokenOffThenSplit:
        result.bytes = brokenOff + own.substr(0, half);
        result.later = own.substr(half);
        result.laterBy = Pause;
        break;
    case Repetition::LastByteMissing:
        result.bytes = cutOff(own, 1) + own;
        break;
    case Repetition::StatusLineCut:
        result.bytes = cutOff(own, 12) + own;
        break;
    case Repetition::FieldsCut:
        result.bytes = cutOff(own, 40) + own;
        break;
    case Repetition::WithoutLength:
        result.bytes = cutOff(withoutLength(own), half) + own;
        result.close = true;
        break;
    case Repetition::OldVersion:
        result.bytes = cutOff(inOldVersion(own), half) + own;
        result.close = true;
        break;
    case Repetition::Chunked:
        result.bytes = cutOff(chunked(own), half) + own;
        break;
    }
    return result;
}

} // namespace persimmon::tests
