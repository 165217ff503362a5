#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace persimmon::protocol {

/// Order in which the members of an object are written.
enum class MemberOrder { Insertion, ByName };

/// Appends the JSON text of @p value. Doubles of common magnitude are written in fixed notation
/// ("0.95", "1"), whereas Boost.JSON uses an exponent ("9.5E-1", "1E0").
void appendJson(std::string &text, const boost::json::value &value, MemberOrder order);

/// @return the JSON text of @p value, with members in insertion order.
std::string serializeJson(const boost::json::value &value);

} // namespace persimmon::protocol
