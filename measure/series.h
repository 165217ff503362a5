#pragma once

#include <string>
#include <vector>

namespace persimmon::measure {

/// One measured value at one size.
struct Point
{
    double size = 0;
    double value = 0;
};

/// Values of one cost at several sizes.
struct Series
{
    std::string name;
    std::string sizeUnit;
    std::string valueUnit;
    std::vector<Point> points;
};

/// Straight line through the points of a series.
struct Line
{
    /// Value per unit of size.
    double slope = 0;
    /// Value at size 0.
    double offset = 0;
};

/// @return the line with the least sum of squared deviations; at least two sizes are needed.
Line fitLine(const Series &series);

/// @return a table with one line for each series: name, units, sizes with values, slope, offset.
std::string formatTable(const std::vector<Series> &all);

} // namespace persimmon::measure
