#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/metrics/process_metric_source.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

TEST(process_metric_source, updates_cpu_time_and_memory_before_each_render)
{
    process_metric_source source;
    metric_registry registry;
    registry.add_source(source);
    const auto text = registry.render();
    EXPECT_NE(text.find("savorywheel_process_resident_kb"), std::string::npos);
    EXPECT_GT(registry.gauge({"process_resident_kb"}), 0U);
    EXPECT_GT(registry.count("process_cpu_us"), 0U);
    EXPECT_GE(registry.gauge({"process_threads"}), 1U);
}

} // namespace savorywheel::test
