#pragma once

#include <boost/json.hpp>

#include <string>

namespace persimmon::ctl {

/// Formats a JSON value as human-readable text: members as "name: value" lines, arrays of flat
/// objects as tables with aligned columns.
/// @param indent number of spaces before each line.
std::string formatText(const boost::json::value &value, std::size_t indent = 0);

/// @return @p value as JSON or as human-readable text, with a trailing newline.
std::string formatReport(const boost::json::value &value, bool asJson);

} // namespace persimmon::ctl
