#include "forward/embedded_head.h"

#include "forward/status_line.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace persimmon::forward {

namespace {

constexpr std::string_view LineEnd = "\r\n";
/// Bytes of a head that are searched for a field that identifies it.
constexpr std::size_t MaxHeadBytes = 16U * 1024U;
constexpr std::size_t MaxStatusLineBytes = 256;
/// Position of the first digit of the status within a status line.
constexpr std::size_t StatusPosition = 9;
/// First digit of the status of an interim response, which has no body.
constexpr char InterimStatusDigit = '1';

enum class HeadMatch : std::uint8_t {
    None,
    /// The bytes end within what may be a status line.
    Unfinished,
    Found,
};

/// How the fields after a status line end.
enum class FieldsEnd : std::uint8_t {
    /// A line that is no field.
    Malformed,
    /// The empty line after the last field.
    Complete,
    /// A field that identifies a response.
    Identified,
    /// The received bytes end.
    Unfinished,
};

bool isFieldName(std::string_view name)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0
               || Symbols.find(letter) != std::string_view::npos;
    });
}

/// @return whether @p text, after which the bytes end, may begin a line of a head.
bool mayBeginField(std::string_view text)
{
    return text.empty() || text == LineEnd.substr(0, 1)
           || isFieldName(text.substr(0, text.find(':')));
}

bool identifiesResponse(std::string_view fieldName, const HeaderNames &names)
{
    const std::array<std::string_view, 3> identifying{names.requestId, names.signature,
                                                      names.notExecuted};
    return std::any_of(identifying.begin(), identifying.end(), [&](std::string_view name) {
        return boost::beast::iequals({name.data(), name.size()},
                                     {fieldName.data(), fieldName.size()});
    });
}

/// @return the length of the status line with its end; 0 if @p text has none.
std::size_t statusLineLength(std::string_view text)
{
    const auto end = text.substr(0, MaxStatusLineBytes).find(LineEnd);
    return end == std::string_view::npos ? 0 : end + LineEnd.size();
}

/// @return whether @p text may be a status line whose end has not been received.
bool mayBeUnfinishedStatusLine(std::string_view text)
{
    const bool hasControls = std::any_of(text.begin(), text.end(), [](char letter) {
        return std::iscntrl(static_cast<unsigned char>(letter)) != 0 && letter != '\r';
    });
    return text.size() < MaxStatusLineBytes && !hasControls;
}

/// Reads the fields of a head.
/// @param rest the bytes after the status line; on return, those after the lines that were read.
FieldsEnd readFields(std::string_view &rest, const HeaderNames &names)
{
    while (true) {
        const auto end = rest.find(LineEnd);
        if (end == std::string_view::npos)
            return mayBeginField(rest) ? FieldsEnd::Unfinished : FieldsEnd::Malformed;
        const auto line = rest.substr(0, end);
        rest.remove_prefix(end + LineEnd.size());
        if (line.empty())
            return FieldsEnd::Complete;
        const auto name = line.substr(0, line.find(':'));
        if (name.size() == line.size() || !isFieldName(name))
            return FieldsEnd::Malformed;
        if (identifiesResponse(name, names))
            return FieldsEnd::Identified;
    }
}

/// @param text the received bytes from a position in the body, at most MaxHeadBytes.
/// @param bodyBytes number of bytes from that position to the end of the body.
HeadMatch matchHead(std::string_view text, std::size_t bodyBytes, const HeaderNames &names)
{
    auto rest = text;
    bool isInterim = true;
    while (isInterim && !rest.empty() && mayBeginStatusLine(rest)) {
        const auto length = statusLineLength(rest);
        if (length == 0)
            return mayBeUnfinishedStatusLine(rest) ? HeadMatch::Unfinished : HeadMatch::None;
        isInterim = rest[StatusPosition] == InterimStatusDigit;
        rest.remove_prefix(length);
        const auto end = readFields(rest, names);
        if (end == FieldsEnd::Malformed)
            return HeadMatch::None;
        if (end == FieldsEnd::Identified)
            return HeadMatch::Found;
        if (end == FieldsEnd::Unfinished)
            return text.size() < MaxHeadBytes ? HeadMatch::Found : HeadMatch::None;
        const bool reachesBeyondBody = text.size() - rest.size() > bodyBytes;
        if (reachesBeyondBody)
            return HeadMatch::Found;
    }
    return HeadMatch::None;
}

/// @return position at or after @p from at which a status line may begin; npos without one.
std::size_t findStatusLineStart(std::string_view body, std::size_t from)
{
    const auto found = body.find(StatusLineStart, from);
    if (found != std::string_view::npos)
        return found;
    const auto tail =
            std::max(from, body.size() - std::min(body.size(), StatusLineStart.size() - 1));
    for (auto at = body.find(StatusLineStart.front(), tail); at != std::string_view::npos;
         at = body.find(StatusLineStart.front(), at + 1)) {
        if (StatusLineStart.starts_with(body.substr(at)))
            return at;
    }
    return std::string_view::npos;
}

} // namespace

EmbeddedHead findEmbeddedHead(std::string_view body, std::string_view following,
                              const HeaderNames &names)
{
    for (auto at = findStatusLineStart(body, 0); at != std::string_view::npos;
         at = findStatusLineStart(body, at + 1)) {
        const auto rest = body.substr(at);
        std::string joined;
        auto text = rest.substr(0, MaxHeadBytes);
        if (text.size() < MaxHeadBytes && !following.empty()) {
            joined.append(rest).append(following.substr(0, MaxHeadBytes - rest.size()));
            text = joined;
        }
        const auto match = matchHead(text, rest.size(), names);
        if (match == HeadMatch::Found)
            return {true, 0};
        if (match == HeadMatch::Unfinished)
            return {false, rest.size()};
    }
    return {};
}

} // namespace persimmon::forward
