#pragma once

#include <boost/json.hpp>

#include <string>

namespace persimmon::ctl {

/// Renders a JSON value for people: members as "name: value" lines, lists of flat objects as tables
/// with aligned columns.
/// @param indent number of spaces before each line.
std::string renderText(const boost::json::value &value, std::size_t indent = 0);

/// @return @p value as JSON text or rendered for people, with a line end.
std::string report(const boost::json::value &value, bool asJson);

} // namespace persimmon::ctl
