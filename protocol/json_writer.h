#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace persimmon::protocol {

/// Order in which the members of objects are written.
enum class MemberOrder { AsGiven, ByName };

/// Appends the JSON text of @p value. Doubles of usual size are written in decimal form ("0.95",
/// "1"), unlike Boost.JSON's own text ("9.5E-1", "1E0").
void appendJson(std::string &text, const boost::json::value &value, MemberOrder order);

/// @return the JSON text of @p value, with members in the given order.
std::string serializeJson(const boost::json::value &value);

} // namespace persimmon::protocol
