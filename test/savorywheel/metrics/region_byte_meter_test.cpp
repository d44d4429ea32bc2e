#include <savorywheel/metrics/region_byte_meter.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

TEST(region_byte_meter, separates_calls_from_control_traffic_and_counts_cross_region_bytes)
{
    metric_registry registry;
    region_byte_meter meter{region_name{"east"}, registry};
    meter.set_region("10.0.0.1", region_name{"east"});
    meter.set_region("10.0.1.1", region_name{"west"});
    meter.on_sent("10.0.0.1", traffic_class::commit, 100);
    meter.on_sent("10.0.1.1", traffic_class::probe, 30);
    meter.on_sent("10.0.1.1", traffic_class::call, 1000);
    meter.on_received("10.0.1.1", traffic_class::membership, 7);
    EXPECT_EQ(registry.count("control_bytes_sent"), 130U);
    EXPECT_EQ(registry.count("control_bytes_sent_cross_region"), 30U);
    EXPECT_EQ(registry.count("bytes_sent_call_cross_region"), 1000U);
    EXPECT_EQ(registry.count("messages_sent_commit"), 1U);
    EXPECT_EQ(registry.count("control_bytes_received_cross_region"), 7U);
}

TEST(region_byte_meter, counts_unknown_regions_as_own_region)
{
    metric_registry registry;
    region_byte_meter meter{region_name{"east"}, registry};
    meter.on_received("10.9.9.9", traffic_class::heartbeat, 14);
    EXPECT_EQ(registry.count("control_bytes_received"), 14U);
    EXPECT_EQ(registry.count("control_bytes_received_cross_region"), 0U);
}

} // namespace savorywheel::test
