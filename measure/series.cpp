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
    double sizes = 0;
    double values = 0;
    double products = 0;
    double squares = 0;
    for (const auto &point : series.points) {
        sizes += point.size;
        values += point.value;
        products += point.size * point.value;
        squares += point.size * point.size;
    }
    const double slope = (count * products - sizes * values) / (count * squares - sizes * sizes);
    return {slope, (values - slope * sizes) / count};
}

std::string formatTable(const std::vector<Series> &all)
{
    std::ostringstream out;
    out << std::left << std::setprecision(ValuePrecision);
    for (const auto &series : all) {
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
