#include "protocol/json_splitter.h"

#include <algorithm>

namespace persimmon::protocol {

namespace {

/// Reads a JSON text from its start. Returns an empty text where the JSON text ends too early.
class Scanner
{
public:
    explicit Scanner(std::string_view text) : text_(text) {}

    bool accept(char expected)
    {
        skipSpace();
        if (at_ >= text_.size() || text_[at_] != expected)
            return false;
        ++at_;
        return true;
    }

    bool isAtEnd()
    {
        skipSpace();
        return at_ == text_.size();
    }

    /// @return the next value, up to the comma or bracket that follows it.
    std::string_view value()
    {
        skipSpace();
        const auto begin = at_;
        std::size_t depth = 0;
        while (at_ < text_.size()) {
            const char next = text_[at_];
            if (next == '"') {
                if (string().empty())
                    return {};
                continue;
            }
            const bool closes = next == ']' || next == '}';
            if (depth == 0 && (closes || next == ','))
                break;
            if (next == '[' || next == '{')
                ++depth;
            else if (closes)
                --depth;
            ++at_;
        }
        return depth > 0 ? std::string_view() : trimmed(text_.substr(begin, at_ - begin));
    }

    /// @return the next string with its quotes.
    std::string_view string()
    {
        skipSpace();
        const auto begin = at_;
        if (!accept('"'))
            return {};
        while (at_ < text_.size() && text_[at_] != '"')
            at_ += text_[at_] == '\\' ? 2 : 1;
        if (at_ >= text_.size())
            return {};
        ++at_;
        return text_.substr(begin, at_ - begin);
    }

private:
    static constexpr std::string_view Space = " \t\r\n";

    static std::string_view trimmed(std::string_view text)
    {
        const auto last = text.find_last_not_of(Space);
        return last == std::string_view::npos ? std::string_view() : text.substr(0, last + 1);
    }

    void skipSpace() { at_ = std::min(text_.find_first_not_of(Space, at_), text_.size()); }

    std::string_view text_;
    std::size_t at_ = 0;
};

} // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    Scanner scanner(text);
    std::vector<JsonMember> members;
    if (!scanner.accept('{'))
        return std::nullopt;
    bool closed = scanner.accept('}');
    while (!closed) {
        const auto name = scanner.string();
        if (name.empty() || !scanner.accept(':'))
            return std::nullopt;
        const auto value = scanner.value();
        if (value.empty())
            return std::nullopt;
        members.push_back({name.substr(1, name.size() - 2), value});
        closed = scanner.accept('}');
        if (!closed && !scanner.accept(','))
            return std::nullopt;
    }
    return scanner.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    Scanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.accept('['))
        return std::nullopt;
    bool closed = scanner.accept(']');
    while (!closed) {
        const auto value = scanner.value();
        if (value.empty())
            return std::nullopt;
        elements.push_back(value);
        closed = scanner.accept(']');
        if (!closed && !scanner.accept(','))
            return std::nullopt;
    }
    return scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::string_view> findMember(const std::vector<JsonMember> &members,
                                           std::string_view name)
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [name](const auto &member) { return member.name == name; });
    return found == members.end() ? std::nullopt : std::optional(found->value);
}

std::string joinWithout(const std::vector<JsonMember> &members, std::string_view excluded)
{
    std::string text = "{";
    for (const auto &member : members) {
        if (member.name == excluded)
            continue;
        text.append(text.size() > 1 ? ",\"" : "\"").append(member.name).append("\":");
        text.append(member.value);
    }
    return text.append("}");
}

} // namespace persimmon::protocol
