#pragma once

#include "forward/header_names.h"
#include "state/upstream_notice.h"
#include "transport/transport.h"

#include <boost/beast/http/fields.hpp>

namespace persimmon::forward {

/// Reads what an upstream says of itself from the header fields of its responses. Values that are
/// not valid are logged, counted and otherwise ignored.
class UpstreamNoticeParser
{
public:
    /// Largest valid request limit, in requests per second.
    static constexpr double MaxRequestLimit = 1e6;
    /// Longest pause; a longer one is shortened to it.
    static constexpr std::chrono::hours MaxPause{24 * 365};

    UpstreamNoticeParser(transport::Metrics &metrics, const HeaderNames &names);

    /// @param upstream name of the upstream that sent the fields, for log lines.
    /// @param refused whether the response is a refusal that may state a pause.
    state::UpstreamNotice parse(const boost::beast::http::fields &fields,
                                const std::string &upstream, bool refused);

private:
    /// What a number above the limit of its field means.
    enum class Excess { Invalid, Clamped };

    /// @return the number in a field that occurs once and is above 0.
    std::optional<double> parseNumber(const boost::beast::http::fields &fields,
                                      const std::string &name, double limit, Excess excess,
                                      const std::string &upstream);

    const HeaderNames &names_;
    transport::Counter &invalid_;
};

} // namespace persimmon::forward
