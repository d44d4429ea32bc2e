#include <gtest/gtest.h>
#include <load/config_text.hpp>
#include <load/result_writer.hpp>

namespace savorywheel::test {

TEST(result_writer, reports_values_that_were_not_measured)
{
    load::measurement_result result;
    result.deployment = "kaldmaa";
    result.nodes = 18;
    result.figures.add("good_versions_on_time", std::nullopt, "%");
    result.figures.add("memory", 20.0, "MB", 256.0);
    result.convergence.push_back({"convergence", {1.0, 2.5}});
    result.faults.emplace_back("a change was refused");
    const auto json = load::write_json(result);
    EXPECT_NE(json.find(R"("name":"good_versions_on_time","value":null)"), std::string::npos);
    EXPECT_NE(json.find(R"("value":20,"unit":"MB","budget":256)"), std::string::npos);
    EXPECT_NE(json.find(R"("faults":["a change was refused"])"), std::string::npos);
    const auto page = load::write_html(result);
    EXPECT_NE(page.find("not measured"), std::string::npos);
    EXPECT_NE(page.find("<polyline"), std::string::npos);
}

TEST(config_text, contains_version_and_deadline_of_each_service)
{
    const auto layout = load::find_deployment("frigoporto");
    ASSERT_TRUE(layout);
    EXPECT_EQ(layout->node_count(), 18U);
    const auto text =
        load::make_rollout_config_text(*layout, {{"bookdesk", "v2"}}, "2026-12-04T12:00:00Z");
    EXPECT_NE(text.find("{name: v2, weight: 100}"), std::string::npos);
    EXPECT_NE(text.find("by: 2026-12-04T12:00:00Z"), std::string::npos);
}

} // namespace savorywheel::test
