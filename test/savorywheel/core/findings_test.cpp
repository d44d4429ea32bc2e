#include <savorywheel/core/findings.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

TEST(findings, renders_each_fault_with_its_position)
{
    findings report;
    EXPECT_TRUE(report.empty());
    report.add({3, 5}, "\"red\"", "a number");
    report.add({}, "a text of 2 bytes", "a longer text");
    EXPECT_EQ(report.items().size(), 2U);
    EXPECT_EQ(report.render("mesh.yaml"), "mesh.yaml:3:5: found \"red\"; expected a number\n"
                                          "mesh.yaml:0:0: found a text of 2 bytes; expected a "
                                          "longer text\n");
}

} // namespace savorywheel::test
