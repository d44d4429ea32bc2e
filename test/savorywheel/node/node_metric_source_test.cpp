#include <savorywheel/admin/fixed_node_control.hpp>
#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/node/node_metric_source.hpp>
#include <savorywheel/traffic/default_server_header_codec.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>
#include <support/recording_crash_reporter.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::test {

TEST(node_metric_source, reports_the_versions_in_force)
{
    manual_clock time;
    curl_http_client client;
    recording_crash_reporter crashes;
    recording_event_log log;
    const default_server_header_codec header_codec;
    const gate backend_gate{{client, time, crashes, log, node_id{"a"}, header_codec}};
    fixed_node_control control;
    retry_budget retries;
    routing_table_holder tables;
    tables.publish(std::make_shared<const routing_table>(
        config_version{130}, routing_table::route_map{}, std::make_shared<const host_table>(),
        config_version{17}));
    key_confirmation keys;
    time.advance(std::chrono::seconds{9});
    keys.advance(std::chrono::seconds{7});
    node_metric_source subject{{control, backend_gate, retries, tables, keys, time}};
    metric_registry registry;
    subject.collect(registry);
    EXPECT_EQ(registry.gauge({"state_in_force"}), 130U);
    EXPECT_EQ(registry.gauge({"operator_version_in_force"}), 17U);
    EXPECT_EQ(registry.gauge({"key_confirmation_age_ms"}), 2000U);
}

} // namespace savorywheel::test
