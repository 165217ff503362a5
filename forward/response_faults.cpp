#include "forward/response_faults.h"

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";

} // namespace

ResponseFaultReporter::ResponseFaultReporter(transport::Metrics &metrics)
{
    for (std::size_t i = 0; i < ResponseFaultNames.size(); ++i) {
        const std::string label = "fault=\"" + std::string(ResponseFaultNames[i].name) + "\"";
        counters_[i] = &metrics.counter("persimmon_upstream_response_faults_total",
                                        "Faulty bytes in place of or beside a response.", label);
    }
}

void ResponseFaultReporter::report(ResponseFault fault, std::uint64_t connection,
                                   std::vector<transport::LogField> fields)
{
    counters_[static_cast<std::size_t>(fault)]->add();
    fields.push_back({"connection", std::to_string(connection)});
    fields.push_back({"fault", std::string(enumName(ResponseFaultNames, fault))});
    transport::log(transport::LogLevel::Warning, Part, "faulty response of an upstream", fields);
}

} // namespace persimmon::forward
