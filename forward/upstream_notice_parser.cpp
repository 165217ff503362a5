#include "forward/upstream_notice_parser.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace http = boost::beast::http;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";
constexpr const char *RetryAfterName = "Retry-After";
constexpr const char *Set = "1";

} // namespace

UpstreamNoticeParser::UpstreamNoticeParser(transport::Metrics &metrics, const HeaderNames &names)
    : names_(names),
      invalid_(metrics.counter("persimmon_invalid_notices_total",
                               "Invalid limits, pauses and leave marks of upstreams."))
{
}

state::UpstreamNotice UpstreamNoticeParser::parse(const http::fields &fields,
                                                  const std::string &upstream, bool refused)
{
    state::UpstreamNotice notice;
    notice.responded = true;
    notice.requestLimit =
            parseNumber(fields, names_.requestLimit, MaxRequestLimit, Excess::Invalid, upstream);
    notice.leaving = fields[names_.leaving] == Set;
    if (!refused)
        return notice;
    constexpr std::chrono::duration<double> LongestPause = MaxPause;
    const auto seconds =
            parseNumber(fields, RetryAfterName, LongestPause.count(), Excess::Clamped, upstream);
    if (seconds)
        notice.pause = std::chrono::ceil<std::chrono::milliseconds>(
                std::chrono::duration<double>(*seconds));
    return notice;
}

std::optional<double> UpstreamNoticeParser::parseNumber(const http::fields &fields,
                                                        const std::string &name, double limit,
                                                        Excess excess, const std::string &upstream)
{
    const auto count = fields.count(name);
    if (count == 0)
        return std::nullopt;
    const auto field = fields[name];
    const std::string_view text(field.data(), field.size());
    double number = 0;
    const auto *end = text.data() + text.size();
    const auto [parsed, error] =
            std::from_chars(text.data(), end, number, std::chars_format::fixed);
    // A number that begins with 0 is out of range because it is too small.
    const bool isTooLarge =
            error == std::errc::result_out_of_range && text.front() >= '1' && text.front() <= '9';
    if (isTooLarge)
        number = std::numeric_limits<double>::infinity();
    const bool isNumber = (error == std::errc() || isTooLarge) && parsed == end;
    const bool isInRange = number > 0 && (number <= limit || excess == Excess::Clamped);
    if (count == 1 && isNumber && isInRange)
        return std::min(number, limit);
    invalid_.add();
    transport::logWarning(Part, "ignored an invalid value of an upstream",
                          {{"upstream", upstream},
                           {"field", name},
                           {"value", std::string(text)},
                           {"occurrences", std::to_string(count)}});
    return std::nullopt;
}

} // namespace persimmon::forward
