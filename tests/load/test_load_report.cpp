#include "load/load.h"
#include "protocol/caller_codec.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace persimmon;

// Guards against extra load that is computed from the answered shards instead of all needed shards.
TEST_CASE("the report computes extra load from executions and needed shards")
{
    load::LoadReport report;
    protocol::QueryResponse answer;
    answer.outcome = protocol::Outcome::Done;
    answer.coverage = protocol::Coverage{0.95, 20, 19, {"s-07"}};
    answer.executions = 21;
    report.addAnswer("p", answer, std::chrono::milliseconds(10));
    report.addAnswer("p", protocol::makeErrorResponse(protocol::CallerError::Overloaded, ""),
                     std::chrono::milliseconds(1));
    const auto json = report.toJson();
    const auto &profile = json.at("profiles").at("p");
    CHECK(profile.at("extra_load").to_number<double>() == doctest::Approx(0.05));
    CHECK(profile.at("coverage_percent").at("95").to_number<int>() == 1);
    CHECK(profile.at("errors").at("overloaded").to_number<int>() == 1);
}

// Guards against a misspelled profile that silently changes the mix of a load test.
TEST_CASE("a mix accepts only known profiles with positive weights")
{
    const std::string config =
            R"({"profile/p":{"group":"g","scope":"all","min_coverage":0.9,"deadline_ms":200,)"
            R"("enough_after_ms":80,"priority":"critical","repeatable":true,"extra_load":0.05,)"
            R"("on_low_coverage":"answer"}})";
    CHECK(isOk(load::ProfileMix::parse("p=2", config)));
    for (const auto *mix : {"", "q=1", "p=0", "p=x"})
        CHECK_FALSE(isOk(load::ProfileMix::parse(mix, config)));
}
