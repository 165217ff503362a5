#include "measure/series.h"

#include <iomanip>
#include <sstream>

namespace persimmon::measure {

namespace {

constexpr int NameWidth = 42;
constexpr int ValuePrecision = 4;

} // namespace

Line fitLine(const Series &series)
{
    const auto count = static_cast<double>(series.points.size());
    double sumSizes = 0;
    double sumValues = 0;
    double sumProducts = 0;
    double sumSquares = 0;
    for (const auto &point : series.points) {
        sumSizes += point.size;
        sumValues += point.value;
        sumProducts += point.size * point.value;
        sumSquares += point.size * point.size;
    }
    const double slope = (count * sumProducts - sumSizes * sumValues)
                         / (count * sumSquares - sumSizes * sumSizes);
    return {slope, (sumValues - slope * sumSizes) / count};
}

std::string formatTable(const std::vector<Series> &allSeries)
{
    std::ostringstream out;
    out << std::left << std::setprecision(ValuePrecision);
    for (const auto &series : allSeries) {
        const auto line = fitLine(series);
        out << std::setw(NameWidth) << series.name << " [" << series.valueUnit << " by "
            << series.sizeUnit << "]";
        for (const auto &point : series.points)
            out << " " << static_cast<long long>(point.size) << ":" << point.value;
        out << " | slope " << line.slope << " offset " << line.offset << "\n";
    }
    return out.str();
}

} // namespace persimmon::measure
