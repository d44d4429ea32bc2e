#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/metrics/process_cost_source.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

TEST(process_cost_source, brings_processor_time_and_memory_up_to_date_before_each_reading)
{
    process_cost_source source;
    metric_registry registry;
    registry.add_source(source);
    const auto text = registry.render();
    EXPECT_NE(text.find("savorywheel_process_resident_kb"), std::string::npos);
    EXPECT_GT(registry.gauge({"process_resident_kb"}), 0U);
    EXPECT_GT(registry.count("process_cpu_us"), 0U);
    EXPECT_GE(registry.gauge({"process_threads"}), 1U);
}

} // namespace savorywheel::test
