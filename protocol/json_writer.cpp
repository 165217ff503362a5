#include "protocol/json_writer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

// Absolute values outside this range are written with an exponent, which keeps their text short.
constexpr double MinFixedNotation = 1e-7;
constexpr double MaxFixedNotation = 1e17;

/// Maximum size of the text of a double. The longest texts are a number just above MinFixedNotation
/// and a number with an exponent, both with 17 significant digits.
constexpr std::size_t DoubleTextLimit = 40;

void appendDouble(std::string &text, double number)
{
    const auto magnitude = std::abs(number);
    const bool useFixed =
            magnitude == 0 || (magnitude >= MinFixedNotation && magnitude < MaxFixedNotation);
    const auto format = useFixed ? std::chars_format::fixed : std::chars_format::scientific;
    std::array<char, DoubleTextLimit> digits{};
    const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), number, format).ptr;
    text.append(digits.data(), end);
}

void appendArray(std::string &text, const json::array &array, MemberOrder order)
{
    text += '[';
    for (std::size_t index = 0; index < array.size(); ++index) {
        text += index == 0 ? "" : ",";
        appendJson(text, array[index], order);
    }
    text += ']';
}

void appendObject(std::string &text, const json::object &object, MemberOrder order)
{
    std::vector<const json::key_value_pair *> members;
    for (const auto &member : object)
        members.push_back(&member);
    if (order == MemberOrder::ByName) {
        std::sort(members.begin(), members.end(),
                  [](const auto *left, const auto *right) { return left->key() < right->key(); });
    }
    text += '{';
    for (std::size_t index = 0; index < members.size(); ++index) {
        text += index == 0 ? "" : ",";
        text += json::serialize(json::string(members[index]->key()));
        text += ':';
        appendJson(text, members[index]->value(), order);
    }
    text += '}';
}

bool containsDouble(const json::value &value)
{
    if (const auto *array = value.if_array())
        return std::any_of(array->begin(), array->end(), containsDouble);
    const auto *object = value.if_object();
    if (object == nullptr)
        return value.is_double();
    return std::any_of(object->begin(), object->end(),
                       [](const auto &member) { return containsDouble(member.value()); });
}

} // namespace

void appendJson(std::string &text, const json::value &value, MemberOrder order)
{
    if (const auto *array = value.if_array())
        appendArray(text, *array, order);
    else if (const auto *object = value.if_object())
        appendObject(text, *object, order);
    else if (const auto *number = value.if_double())
        appendDouble(text, *number);
    else
        text += json::serialize(value);
}

std::string serializeJson(const json::value &value)
{
    // Boost.JSON serializes a complete value faster than the recursive functions above.
    if (!containsDouble(value))
        return json::serialize(value);
    std::string text;
    appendJson(text, value, MemberOrder::Insertion);
    return text;
}

} // namespace persimmon::protocol
