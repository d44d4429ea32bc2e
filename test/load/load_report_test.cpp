#include <gtest/gtest.h>
#include <load/load_report.hpp>

#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

std::vector<load::call_sample> samples()
{
    std::vector<load::call_sample> result;
    for (int i = 1; i <= 100; ++i) {
        result.push_back({load::call_path::mesh, load::request_result::answered, i * 2ms});
        result.push_back({load::call_path::direct, load::request_result::answered, i * 1ms});
    }
    result.push_back({load::call_path::mesh, load::request_result::not_run, 900ms});
    return result;
}

} // namespace

TEST(load_report, compares_the_mesh_with_direct_calls_and_counts_errors)
{
    const auto report = load::make_load_report(samples());
    EXPECT_EQ(report.find("mesh_calls"), 101.0);
    EXPECT_EQ(report.find("mesh_not_run"), 1.0);
    EXPECT_EQ(report.find("mesh_max"), 200.0);
    EXPECT_EQ(report.find("added_p50"), 50.0);
    EXPECT_EQ(report.find("added_p99"), 99.0);
    EXPECT_NE(report.table().find("budget 0.550: missed"), std::string::npos);
}

TEST(request_result, uses_the_outcome_reported_by_the_mesh)
{
    using load::request_result;
    EXPECT_EQ(load::classify_response(http_response{200, {}, {}}), request_result::answered);
    EXPECT_EQ(load::classify_response(http_response{500, {}, {}}), request_result::server_error);
    EXPECT_EQ(
        load::classify_response(http_response{503, {{"x-savorywheel-outcome", "not-run"}}, {}}),
        request_result::not_run);
    EXPECT_EQ(load::classify_response(failure{failure_code::timeout, {}}), request_result::timeout);
    EXPECT_EQ(load::classify_response(failure{failure_code::unknown_outcome, {}}),
              request_result::unknown);
}

} // namespace savorywheel::test
