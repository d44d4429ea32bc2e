#include <gtest/gtest.h>
#include <load/load_plan_reader.hpp>

namespace savorywheel::test {

TEST(load_plan_reader, reads_targets_and_their_weights)
{
    findings report;
    const auto plan = load::read_load_plan(R"(per_second: 50.5
seconds: 3
nodes: ["127.0.0.1:7000"]
targets:
  - {service: plugboard, path: /check, weight: 3}
  - {service: bookdesk, method: POST, path: /book, body_bytes: 100}
)",
                                           report);
    EXPECT_TRUE(report.empty()) << report.render("load.yaml");
    EXPECT_EQ(plan.per_second, 50.5);
    ASSERT_EQ(plan.targets.size(), 2U);
    EXPECT_EQ(plan.targets[0].weight, 3U);
    EXPECT_EQ(plan.targets[1].method, "POST");
    EXPECT_EQ(plan.targets[1].body_bytes, 100U);
}

TEST(load_plan_reader, reports_all_faults_at_once)
{
    findings report;
    static_cast<void>(
        load::read_load_plan("per_second: -1\ncolour: red\nalternate_direct: true\nnodes: [here]\n"
                             "targets: [{service: plugboard, path: /check}]\n",
                             report));
    EXPECT_EQ(report.items().size(), 5U) << report.render("load.yaml");
}

} // namespace savorywheel::test
