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
        result.push_back({load::call_path::mesh, load::call_verdict::answered, i * 2ms});
        result.push_back({load::call_path::direct, load::call_verdict::answered, i * 1ms});
    }
    result.push_back({load::call_path::mesh, load::call_verdict::not_run, 900ms});
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

TEST(call_verdict, believes_what_the_mesh_says_about_a_call)
{
    using load::call_verdict;
    EXPECT_EQ(load::verdict_of(http_response{200, {}, {}}), call_verdict::answered);
    EXPECT_EQ(load::verdict_of(http_response{500, {}, {}}), call_verdict::server_error);
    EXPECT_EQ(load::verdict_of(http_response{503, {{"x-savorywheel-outcome", "not-run"}}, {}}),
              call_verdict::not_run);
    EXPECT_EQ(load::verdict_of(failure{failure_code::timeout, {}}), call_verdict::timeout);
    EXPECT_EQ(load::verdict_of(failure{failure_code::unknown_outcome, {}}), call_verdict::unknown);
}

} // namespace savorywheel::test
