#include <savorywheel/metrics/metric_registry.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST(metric_registry, writes_counters_and_gauges_in_the_format_of_prometheus)
{
    metric_registry subject;
    subject.count("calls") = 7;
    subject.count({"gate_refusals", "reason", "overload"}) = 3;
    subject.count({"gate_refusals", "reason", "silent"}) = 2;
    subject.gauge({"gate_running"}) = 5;
    const auto text = subject.render();
    EXPECT_TRUE(has_line(text, "# TYPE savorywheel_calls counter")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_calls 7")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_gate_refusals{reason=\"overload\"} 3")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_gate_refusals{reason=\"silent\"} 2")) << text;
    EXPECT_TRUE(has_line(text, "# TYPE savorywheel_gate_running gauge")) << text;
}

TEST(metric_registry, writes_latencies_as_histograms)
{
    metric_registry subject;
    subject.latency("call").record(std::chrono::milliseconds{30});
    subject.latency("call").record(std::chrono::milliseconds{700});
    const auto text = subject.render();
    EXPECT_TRUE(has_line(text, "# TYPE savorywheel_call_seconds histogram")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_call_seconds_bucket{le=\"0.025\"} 0")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_call_seconds_bucket{le=\"0.05\"} 1")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_call_seconds_bucket{le=\"+Inf\"} 2")) << text;
    EXPECT_TRUE(has_line(text, "savorywheel_call_seconds_count 2")) << text;
}

} // namespace savorywheel::test
