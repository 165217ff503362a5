#include "ctl/report_format.h"

#include "protocol/protocol.h"

#include <algorithm>
#include <vector>

namespace json = boost::json;

namespace persimmon::ctl {

namespace {

constexpr std::size_t IndentWidth = 2;
constexpr std::size_t ColumnGap = 2;

/// @return whether @p value fits on one line: a scalar, an empty array or an empty object.
bool isFlat(const json::value &value)
{
    return !value.is_structured() || (value.is_array() && value.get_array().empty())
           || (value.is_object() && value.get_object().empty());
}

std::string formatScalar(const json::value &value)
{
    if (!value.is_string())
        return protocol::serializeJson(value);
    const auto &text = value.get_string();
    // JSON escapes control characters, which a remote process could use to control the terminal.
    const auto isControl = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
    if (std::any_of(text.begin(), text.end(), isControl))
        return protocol::serializeJson(value);
    return {text.data(), text.size()};
}

/// @return whether all elements are non-empty objects with flat members only.
bool isTable(const json::array &rows)
{
    return std::all_of(rows.begin(), rows.end(), [](const json::value &row) {
        return row.is_object() && !row.get_object().empty()
               && std::all_of(row.get_object().begin(), row.get_object().end(),
                              [](const auto &member) { return isFlat(member.value()); });
    });
}

std::vector<std::string> collectColumns(const json::array &rows)
{
    std::vector<std::string> columns;
    for (const auto &row : rows) {
        for (const auto &member : row.get_object()) {
            const std::string name(member.key().data(), member.key().size());
            if (std::find(columns.begin(), columns.end(), name) == columns.end())
                columns.push_back(name);
        }
    }
    return columns;
}

std::string formatTable(const json::array &rows, std::size_t indent)
{
    const auto columns = collectColumns(rows);
    std::vector<std::vector<std::string>> lines{columns};
    for (const auto &row : rows) {
        auto &line = lines.emplace_back();
        for (const auto &column : columns) {
            const auto *cell = row.get_object().if_contains(column);
            line.push_back(cell == nullptr ? "-" : formatScalar(*cell));
        }
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (std::size_t index = 0; index < line.size(); ++index)
            widths[index] = std::max(widths[index], line[index].size() + ColumnGap);
    }
    std::string text;
    for (auto &line : lines) {
        text.append(indent, ' ');
        for (std::size_t index = 0; index + 1 < line.size(); ++index)
            text += line[index].append(widths[index] - line[index].size(), ' ');
        text += line.back() + "\n";
    }
    return text;
}

std::string formatObject(const json::object &object, std::size_t indent)
{
    std::string text;
    for (const auto &member : object) {
        text.append(indent, ' ').append(member.key().data(), member.key().size());
        if (isFlat(member.value()))
            text += ": " + formatScalar(member.value()) + "\n";
        else
            text += ":\n" + formatText(member.value(), indent + IndentWidth);
    }
    return text;
}

} // namespace

std::string formatText(const json::value &value, std::size_t indent)
{
    if (isFlat(value))
        return std::string(indent, ' ') + formatScalar(value) + "\n";
    if (value.is_object())
        return formatObject(value.get_object(), indent);
    const auto &rows = value.get_array();
    if (isTable(rows))
        return formatTable(rows, indent);
    std::string text;
    for (const auto &row : rows) {
        if (isFlat(row))
            text += formatText(row, indent);
        else
            text += std::string(indent, ' ') + "-\n" + formatText(row, indent + IndentWidth);
    }
    return text;
}

std::string formatReport(const json::value &value, bool asJson)
{
    return asJson ? protocol::serializeJson(value) + "\n" : formatText(value);
}

} // namespace persimmon::ctl
