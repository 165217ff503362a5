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

/// Values of one measured quantity at several sizes.
struct Series
{
    std::string name;
    std::string sizeUnit;
    std::string valueUnit;
    std::vector<Point> points;
};

/// Straight line fitted to the points of a series.
struct Line
{
    /// Value per unit of size.
    double slope = 0;
    /// Value at size 0.
    double offset = 0;
};

/// Fits a line by linear least squares.
/// @param series series with points at two or more different sizes.
Line fitLine(const Series &series);

/// @return a table with one line per series: name, units, values by size, slope and offset.
std::string formatTable(const std::vector<Series> &allSeries);

} // namespace persimmon::measure
